export * from './continuation-wait.js'
export * from './stream-origin.js'
