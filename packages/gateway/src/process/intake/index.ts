export * from './backend-intakes.js'
export * from './intake-memory.js'
export * from './leaving-exchange.js'
export * from './limit-exchange.js'
