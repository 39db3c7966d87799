export * from './request-stages.js'
export * from './stage-task.js'
