export * from './backend-intakes.js'
export * from './intake-memory.js'
export * from './limit-exchange.js'
