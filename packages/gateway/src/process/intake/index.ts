export * from './backend-intakes.js'
export * from './intake-cache.js'
export * from './leaving-exchange.js'
export * from './limit-exchange.js'
