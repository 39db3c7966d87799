/**
 * Dependencies of the stage pools. Used for the lifetime of the process.
 */
import type { EventLog } from '@eidermast/common'
import type { IntakeGate } from '../../../connection/backends/intake-gate.js'
import type { StageClient } from '../../../connection/backends/stage-client.js'
import type { RetryBudget } from '../../../request/attempts/retry-budget.js'
import type { CrashMonitor } from '../../../request/crash-monitor.js'
import type { BackendSlowdowns } from '../../../request/load/load-estimator.js'

/** Reports broken calls and tells which requests have crashed backend servers. */
export type StageCrashMonitor = Pick<CrashMonitor, 'noteBroken' | 'crashCount' | 'refusal'>

/** Dependencies of one pool. */
export interface StagePoolDependencies {
  client: StageClient
  retryBudget: Pick<RetryBudget, 'takeRetry'>
  crashes: StageCrashMonitor
  /** When a call may be sent to a backend server that limits its calls. */
  intake: Pick<IntakeGate, 'waitMs'>
  /** How slow backend servers are at the moment. @default as usual */
  slowdowns?: BackendSlowdowns
  log: EventLog
}
