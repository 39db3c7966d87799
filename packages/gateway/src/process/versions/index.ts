export * from './version-history.js'
