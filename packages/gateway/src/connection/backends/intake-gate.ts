/**
 * The flow-control gate for calls to backend servers: whether a backend server
 * accepts a request at the moment, according to its own notices.
 */
import type { ResponseHead } from './backend-notice.js'
import type { Backend } from './backend.js'

/** Flow control for calls to backend servers; implemented by the process. */
export interface IntakeGate {
  /** Milliseconds until a request may be sent to the backend server; 0 if it may be sent now. */
  waitMs: (backend: Backend) => number
  /** Called just before the first byte of a request is written. */
  recordSent: (backend: Backend) => void
  /** Called when the head of a response is received. */
  handleResponse: (backend: Backend, head: ResponseHead) => void
}
