export * from './members.js'
export * from './peer-clients.js'
export * from './peer-router.js'
export * from './shared-preparer.js'
