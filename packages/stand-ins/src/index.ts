/**
 * Exports for the tests. No production code depends on this package.
 */
export { DeploymentName, resolveDeployment } from './deployment.js'
export { LogOutage } from './faults.js'
export type { StandInService } from './http-service.js'
export { LogService } from './log-service.js'
export { expectedAnswer } from './outputs.js'
export { ProcessKind } from './process-group.js'
export { OPERATOR_TIMEOUT_MS, RunningSystem } from './running-system.js'
