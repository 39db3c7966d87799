/**
 * What the pools of stage services work with. They live as long as the process.
 */
import type { EventLog } from '@eidermast/common'
import type { IntakeGate } from '../../../connection/backends/intake-gate.js'
import type { StageClient } from '../../../connection/backends/stage-client.js'
import type { RetryBudget } from '../../../request/attempts/retry-budget.js'
import type { CrashMonitor } from '../../../request/crash-monitor.js'

/** What stage work tells and asks of requests under which backend servers end. */
export type StageCrashWatch = Pick<CrashMonitor, 'noteBroken' | 'crashCount' | 'refusal'>

/** What a pool works with. */
export interface StagePoolParts {
  client: StageClient
  retryBudget: Pick<RetryBudget, 'takeRetry'>
  crashes: StageCrashWatch
  /** When a call may go to a backend server that says what it takes. */
  intake: Pick<IntakeGate, 'waitMs'>
  log: EventLog
}
