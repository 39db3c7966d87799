/**
 * Decides what the end of an attempt says of its backend server, for ejection.
 *
 * Inputs: how the attempt ended, the kind of its failure, whether this gateway
 * or the client abandoned it. All are of the attempt that just ended.
 * Rule: a broken or unreachable call counts as a failure; one that this gateway
 * abandoned counts as slow; whole answers count as successes with their time.
 * Refusals say nothing of a backend server's health, nor does its leaving, nor
 * a client that leaves, nor the time of a stream, which its length sets.
 * Why: counting refusals would eject a pool's servers because they are busy.
 * Log events: `call-failed` (`kind`); ejection logs its part itself.
 */
import type { EjectionPolicy } from '@eidermast/common'
import type { Backend } from '../../connection/backends/backend.js'
import { CallFailureKind } from '../../connection/backends/backend-client.js'
import { AttemptEnd } from './retry-rule.js'

/** The end of an attempt, as ejection sees it. */
export interface AttemptEvidence {
  end: AttemptEnd
  /** Absent where an answer came. */
  failureKind: CallFailureKind | undefined
  /** The answer was a stream. */
  streaming: boolean
  /** This gateway abandoned the attempt while its client waited. */
  abandonedHere: boolean
}

/** What an attempt says of its backend server. */
export enum BackendHealthSign {
  Success = 'success',
  Failure = 'failure',
  Abandoned = 'abandoned',
  None = 'none',
}

/** Decides what an attempt says of its backend server. */
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

/** Hands a sign to ejection; the time is that of the whole attempt, in milliseconds. */
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
