/**
 * Code shared by both programs, the platform adapter and the tools: errors,
 * outlier ejection, logging, retry delays, sliding windows of durations, settings
 * files and timeouts. It depends on none of them.
 */
export * from './descriptor-writer.js'
export * from './duration-window.js'
export * from './ejection.js'
export * from './errors.js'
export * from './event-log.js'
export * from './heap-limit.js'
export * from './http/index.js'
export * from './logger.js'
export * from './max-min-shares.js'
export * from './retry-delay.js'
export * from './settings-file.js'
export * from './shared-read.js'
export * from './socket-address.js'
export * from './wait.js'
