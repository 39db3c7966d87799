/**
 * Public API of the daemon for other packages of the workspace.
 */
export * from './connection/index.js'
export * from './process/index.js'
export * from './request/index.js'
export * from './version/index.js'
