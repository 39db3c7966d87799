export * from './backend-pause.js'
export * from './result-deleter.js'
export * from './result-memory.js'
export * from './stage-backend.js'
