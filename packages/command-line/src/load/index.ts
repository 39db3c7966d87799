export * from './load-kind.js'
export * from './load-report.js'
export * from './load-run.js'
