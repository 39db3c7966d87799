export * from './account-shares.js'
export * from './request-admission.js'
