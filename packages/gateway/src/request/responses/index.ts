export * from './event-splitter.js'
export * from './event-transfer.js'
export * from './response-relay.js'
export * from './stall-detector.js'
