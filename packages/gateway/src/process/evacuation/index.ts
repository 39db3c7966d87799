export * from './evacuation-list.js'
