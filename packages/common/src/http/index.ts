export * from './limited-body.js'
export * from './limited-lines.js'
export * from './presence-check.js'
export * from './unframed-body.js'
