export * from './answer-relay.js'
export * from './event-splitter.js'
export * from './silence-watch.js'
