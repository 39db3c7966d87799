/**
 * Log events of the coordinator's stage work, one function per event. The fields
 * are listed in docs/OPERATIONS.md; `eidermast explain` reads them.
 */
import type { EventLog } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { ItemFailure, StageCallResult } from '../../connection/backends/stage-client.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs } from '../../connection/peers/preparation.js'
import type { ArrivalKind } from '../../request/returns/refusal-memory.js'
import type { StageBackend } from './backend/stage-backend.js'
import type { PoolItem } from './pool/pool-task.js'
import type { SharedAdmission } from './sharing/stage-sharing.js'
import type { AdmissionCandidate } from './stage-admission.js'

/** A call to a backend server ended. */
export function logStageCall(
  log: EventLog,
  service: string,
  backend: StageBackend,
  items: readonly PoolItem[],
  result: StageCallResult,
  tookMs: number,
): void {
  log.write('stage-call', {
    service,
    backend: backend.backend.id,
    failureDomain: backend.failureDomain,
    items: items.length,
    tookMs: Math.round(tookMs),
    expectedMs: Math.round(backend.expectedCallMs(items.length)),
    end: result.end,
    failures: describeFailures(result),
    resultMemoryBytes: backend.memory.freeBytes(),
    requests: [...new Set(items.map(item => item.task.stageTask.requestId))].join(','),
  })
}

/** A backend server is paused after a failed call. */
export function logBackendPaused(log: EventLog, service: string, backend: StageBackend, reason: string, milliseconds: number): void {
  log.write('stage-backend-paused', { service, backend: backend.backend.id, reason, milliseconds })
}

/** A request was admitted or refused. */
export function logAdmission(
  log: EventLog,
  { request, answerMs }: AdmissionCandidate,
  arrival: ArrivalKind,
  decision: SharedAdmission,
  activeRequests: number,
): void {
  log.write('stages-admission', {
    request: request.requestId,
    decision: decision.isAdmitted ? decision.reason : 'refused',
    reason: decision.isAdmitted ? undefined : decision.reason,
    arrival,
    account: request.account,
    retryAfterMs: decision.isAdmitted ? undefined : Math.round(decision.retryAfterMs),
    finishMs: Math.round(decision.finishMs),
    answerMs: Math.round(answerMs),
    targetMs: Math.round(request.targetMs),
    priority: request.priority,
    isRetry: request.isRetry,
    underWay: activeRequests,
    shard: request.shard,
  })
}

/** The stage work of a request ended. */
export function logStagesEnded(
  log: EventLog,
  request: PreparationRequest,
  result: Result<PreparedInputs, PreparationFailure>,
  { tookMs, expectedMs }: { tookMs: number, expectedMs: number | undefined },
): void {
  log.write('stages-ended', {
    request: request.requestId,
    outcome: result.isOk() ? 'prepared' : result.error.kind,
    targetMs: Math.round(request.targetMs),
    tookMs: Math.round(tookMs),
    expectedMs: expectedMs === undefined ? undefined : Math.round(expectedMs),
    reason: result.isErr() ? result.error.message : undefined,
  })
}

/** Number of failed items of a call by kind, such as `no-memory:2`; undefined if there are none. */
function describeFailures(result: StageCallResult): string | undefined {
  const counts = new Map<ItemFailure, number>()
  for (const outcome of result.outcomes) {
    if ('failure' in outcome)
      counts.set(outcome.failure, (counts.get(outcome.failure) ?? 0) + 1)
  }
  return counts.size === 0 ? undefined : [...counts].map(([kind, count]) => `${kind}:${count}`).join(',')
}
