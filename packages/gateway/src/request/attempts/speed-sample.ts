/**
 * Passes the end of an attempt to the load estimator. Stateless.
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { CallSample, LoadEstimator } from '../load/load-estimator.js'
import { CallFailureKind } from '../../connection/backends/backend-client.js'
import { BackendHealthSignal } from './health-signal.js'

/** The end of an attempt. */
export interface SampledAttempt extends CallSample {
  backend: Backend
  healthSignal: BackendHealthSignal
  /** Undefined if there was a response. */
  failureKind: CallFailureKind | undefined
  /** The response is a stream, whose duration depends on its length. */
  streaming: boolean
}

/** Passes the end of an attempt on if it says something about speed or load. */
export function recordSpeed(estimator: LoadEstimator | undefined, { backend, healthSignal, failureKind, streaming, tookMs, estimate }: SampledAttempt): void {
  if (healthSignal === BackendHealthSignal.Success)
    estimator?.recordAnswer(backend, { tookMs, estimate })
  else if (!streaming && failureKind === CallFailureKind.Aborted && healthSignal === BackendHealthSignal.Abandoned)
    estimator?.recordAbandoned(backend, { tookMs, estimate })
  else if (failureKind === CallFailureKind.Refused)
    estimator?.recordRefusal(backend)
}
