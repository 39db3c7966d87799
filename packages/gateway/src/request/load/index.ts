export * from './load-estimator.js'
export * from './measured-load-estimator.js'
export * from './queue-limit.js'
export type * from './requests-there.js'
