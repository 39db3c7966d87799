export * from './members.js'
