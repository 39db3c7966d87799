/**
 * What the pools of stage services work with. They live as long as the process.
 */
import type { EventLog } from '@eidermast/common'
import type { StageClient } from '../../../connection/backends/stage-client.js'
import type { RetryBudget } from '../../../request/attempts/retry-budget.js'
import type { CrashWatch } from '../../../request/crash-watch.js'

/** What stage work tells and asks of requests under which backend servers end. */
export type StageCrashWatch = Pick<CrashWatch, 'noteBroken' | 'crashCount' | 'refusal'>

/** What a pool works with. */
export interface StagePoolParts {
  client: StageClient
  retryBudget: Pick<RetryBudget, 'takeRetry'>
  crashes: StageCrashWatch
  log: EventLog
}
