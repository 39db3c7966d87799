export * from './in-flight-exchange.js'
export * from './load-exchange.js'
export * from './shared-in-flight.js'
