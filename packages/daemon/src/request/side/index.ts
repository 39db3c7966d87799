export * from './stage-queue.js'
export * from './stage-runner.js'
export * from './stage-table.js'
