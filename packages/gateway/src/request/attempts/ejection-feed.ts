/**
 * Decides what the result of an attempt tells outlier ejection about the health
 * of the backend server.
 *
 * Inputs: how the attempt ended, the kind of its failure, whether this gateway
 * or the client aborted it; all of the attempt that has just ended.
 * Rule: a broken or unreachable call counts as a failure, and one that this
 * gateway abandoned as slow. Non-streaming responses count as successes with
 * their latency. These say nothing about health: refusals, shutdown of the
 * backend server, disconnected clients, and the duration of a stream, which
 * depends on its length.
 * Why: counting refusals would eject a pool's servers for being busy.
 * Log events: `call-failed` (`kind`); ejection logs its own decisions.
 */
import type { EjectionPolicy } from '@eidermast/common'
import type { Backend } from '../../connection/backends/backend.js'
import { CallFailureKind } from '../../connection/backends/backend-client.js'
import { AttemptEnd } from './retry-rule.js'

/** The inputs of the health decision, from one attempt. */
export interface AttemptEvidence {
  end: AttemptEnd
  /** Undefined if there was a response. */
  failureKind: CallFailureKind | undefined
  /** The response was a stream. */
  streaming: boolean
  /** This gateway aborted the attempt while its client was still waiting. */
  abandonedHere: boolean
}

/** What an attempt says about the health of its backend server. */
export enum BackendHealthSign {
  Success = 'success',
  Failure = 'failure',
  Abandoned = 'abandoned',
  None = 'none',
}

/** Decides what an attempt says about the health of its backend server. */
export function decideHealthSign(evidence: AttemptEvidence): BackendHealthSign {
  if (evidence.end === AttemptEnd.Answered && !evidence.streaming)
    return BackendHealthSign.Success
  if (evidence.failureKind === CallFailureKind.Broken || evidence.failureKind === CallFailureKind.NotSent)
    return BackendHealthSign.Failure
  if (isAbandoned(evidence.failureKind) && evidence.abandonedHere)
    return BackendHealthSign.Abandoned
  return BackendHealthSign.None
}

function isAbandoned(kind: CallFailureKind | undefined): boolean {
  return kind === CallFailureKind.Aborted || kind === CallFailureKind.AbandonedUnsent
}

/** Reports a health signal to outlier ejection; `tookMs` is the duration of the whole attempt. */
export function recordHealthSign(ejection: EjectionPolicy, backend: Backend, sign: BackendHealthSign, tookMs: number): void {
  switch (sign) {
    case BackendHealthSign.Success:
      return ejection.recordSuccess(backend.backendName, backend.service, tookMs)
    case BackendHealthSign.Failure:
      return ejection.recordFailure(backend.backendName)
    case BackendHealthSign.Abandoned:
      return ejection.recordAbandoned(backend.backendName, backend.service, tookMs)
    case BackendHealthSign.None:
  }
}
