export * from './configuration-holder.js'
export * from './configuration.js'
export * from './route-table.js'
