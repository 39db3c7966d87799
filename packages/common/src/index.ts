/**
 * What both programs, the adapter and the tools share: errors, ejection, logs,
 * recent times, settings files and waits. It relies on none of them.
 */
export * from './ejection.js'
export * from './errors.js'
export * from './event-log.js'
export * from './logger.js'
export * from './recent-times.js'
export * from './settings-file.js'
export * from './wait.js'
