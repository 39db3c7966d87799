export * from './refusal-memory.js'
export * from './return-detector.js'
