export * from './crash-witness.js'
