/**
 * What is known of the load of a backend server when a request is about to be
 * sent: how many requests are there, and how long one more would wait and run.
 */
import type { Backend } from '../../connection/backends/backend.js'

/** The expected load of one backend server. */
export interface BackendEstimate {
  /** Requests running or waiting there, of all gateways as far as known, this gateway's calls in flight included. */
  requests: number
  /** Requests that it processes concurrently; at least 1. */
  slots: number
  /** Time of one request once it runs there, in milliseconds; undefined if it was neither reported nor measured. */
  serviceMs: number | undefined
  /** Wait of one more request until it runs there, in milliseconds; undefined if `serviceMs` is. */
  waitMs: number | undefined
  /** How long work takes there at the moment (1: as usual); undefined if not reported. */
  slowness: number | undefined
  /** It refused requests for lack of room when as many were there. @default false */
  isFull?: boolean
}

/** How a call ended, for the estimates of later calls. */
export interface CallSample {
  /** From the first byte to the head of the response, or until the call was abandoned, in milliseconds. */
  tookMs: number
  /** What was expected when the call started. */
  estimate: BackendEstimate
}

/** The first event of a stream. */
export interface FirstEventSample extends CallSample {
  /** Tokens of the prompt; shared parts may have been cached. */
  tokens: number
}

/** How much longer work takes at a backend server than usual (1: as usual); times are on the monotonic clock in milliseconds. */
export interface BackendSlowdowns {
  /** As it reported. */
  reportedSlowdown: (backend: Backend, now: number) => number
  /** Of prompts at a model engine, over that of its service: as it reported, and as measured by first events. */
  promptSlowdown: (backend: Backend, now: number) => number
}

/** All backend servers are as fast as usual (setting `backend-speed = none`). */
export const NO_SLOWDOWNS: BackendSlowdowns = { reportedSlowdown: () => 1, promptSlowdown: () => 1 }

/** Estimates load (setting `backend-speed` in `[load]`). */
export interface LoadEstimator extends BackendSlowdowns {
  /** The load of a backend server at a time on the monotonic clock in milliseconds. */
  estimate: (backend: Backend, now: number) => BackendEstimate
  /** Records a call that a backend server answered without a stream. */
  recordAnswer: (backend: Backend, sample: CallSample) => void
  /** Records the first event of a stream. */
  recordFirstEvent: (backend: Backend, sample: FirstEventSample) => void
  /** Records a call that this gateway abandoned: it would have taken at least as long. */
  recordAbandoned: (backend: Backend, sample: CallSample) => void
  /** Records that a backend server refused a call for lack of room. */
  recordRefusal: (backend: Backend) => void
}

/**
 * Older load reports are ignored, because the server may have become idle since.
 * Long enough to use the reports of servers that respond rarely.
 */
const LOAD_LIFETIME_MS = 1500

/** Uses the number of requests that a backend server reported, and no times (setting `backend-speed = none`). */
export class ReportedLoadEstimator implements LoadEstimator {
  estimate(backend: Backend, now: number): BackendEstimate {
    const isRecent = now - backend.loadAt < LOAD_LIFETIME_MS
    const reported = backend.load && isRecent ? backend.load.running + backend.load.waiting : 0
    return {
      requests: Math.max(backend.outstanding, reported),
      slots: Math.max(1, backend.record.capacity),
      serviceMs: undefined,
      waitMs: undefined,
      slowness: undefined,
    }
  }

  reportedSlowdown(): number {
    return 1
  }

  promptSlowdown(): number {
    return 1
  }

  recordAnswer(): void {}

  recordFirstEvent(): void {}

  recordAbandoned(): void {}

  recordRefusal(): void {}
}
