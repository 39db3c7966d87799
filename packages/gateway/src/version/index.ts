export * from './configuration-holder.js'
export * from './configuration.js'
export * from './evacuation-order.js'
export * from './route-table.js'
