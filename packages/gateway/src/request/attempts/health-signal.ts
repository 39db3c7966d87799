/**
 * Decides what the result of an attempt tells outlier ejection about the health
 * of the backend server.
 *
 * Inputs: how the attempt ended, the kind of its failure, whether this gateway
 * or the client aborted it, whether its response waited for room in this process,
 * whether load explains how long it lasted (deadlines.ts); all of the attempt
 * that has just ended.
 * Rule: a broken or unreachable call counts as a failure, and one that this
 * gateway abandoned as slow, unless load explains its duration. Non-streaming
 * responses count as successes with their latency. These say nothing about health: refusals, shutdown of the
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
export interface HealthSignalInputs {
  end: AttemptEnd
  /** Undefined if there was a response. */
  failureKind: CallFailureKind | undefined
  /** The response was a stream. */
  streaming: boolean
  /** This gateway aborted the attempt while its client was still waiting. */
  abandonedHere: boolean
  /** The response waited for room in this process. @default false */
  waitedForRoom?: boolean
  /** The load of the backend server explains its duration. @default false */
  explainedByLoad?: boolean
}

/** What an attempt says about the health of its backend server. */
export enum BackendHealthSignal {
  Success = 'success',
  Failure = 'failure',
  Abandoned = 'abandoned',
  None = 'none',
}

/** Decides what an attempt says about the health of its backend server. */
export function decideHealthSignal(inputs: HealthSignalInputs): BackendHealthSignal {
  if (inputs.end === AttemptEnd.Answered && !inputs.streaming)
    return BackendHealthSignal.Success
  if (inputs.waitedForRoom)
    return BackendHealthSignal.None
  if (inputs.failureKind === CallFailureKind.Broken || inputs.failureKind === CallFailureKind.NotSent)
    return BackendHealthSignal.Failure
  if (isAbandoned(inputs.failureKind) && inputs.abandonedHere && !inputs.explainedByLoad)
    return BackendHealthSignal.Abandoned
  return BackendHealthSignal.None
}

function isAbandoned(kind: CallFailureKind | undefined): boolean {
  return kind === CallFailureKind.Aborted || kind === CallFailureKind.AbandonedUnsent
}

/** Reports a health signal to outlier ejection; `tookMs` is the duration of the whole attempt. */
export function recordHealthSignal(ejection: EjectionPolicy, backend: Backend, signal: BackendHealthSignal, tookMs: number): void {
  switch (signal) {
    case BackendHealthSignal.Success:
      return ejection.recordSuccess(backend.backendName, backend.service, tookMs)
    case BackendHealthSignal.Failure:
      return ejection.recordFailure(backend.backendName)
    case BackendHealthSignal.Abandoned:
      return ejection.recordCancelled(backend.backendName, backend.service, tookMs)
    case BackendHealthSignal.None:
  }
}
