export * from './backend-intakes.js'
