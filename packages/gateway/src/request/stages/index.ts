export * from './stage-run.js'
export * from './stage-task.js'
