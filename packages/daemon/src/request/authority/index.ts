export * from './claims.js'
export * from './not-run-proof.js'
export * from './outcome-finder.js'
export * from './tickets.js'
