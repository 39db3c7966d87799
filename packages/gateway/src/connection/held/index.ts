export * from './body-wait.js'
export * from './held-bytes.js'
export * from './room-decision.js'
