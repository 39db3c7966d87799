export * from './event-log.js'
export * from './gateway-metrics.js'
export * from './gateway-settings.js'
export * from './gateway.js'
