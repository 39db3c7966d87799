export * from './backend-intakes.js'
export * from './intake-memory.js'
