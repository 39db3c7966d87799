/**
 * The gate that each way to a backend server passes: whether it takes a request
 * now, by its own word.
 */
import type { AnswerHead } from './backend-notice.js'
import type { Backend } from './backend.js'

/** What each way to a backend server asks and tells of the requests that it takes; implemented by the process. */
export interface IntakeGate {
  /** Milliseconds until a request may be sent there; 0 where one may be now. */
  waitMs: (backend: Backend) => number
  /** The first byte of a request is about to be written. */
  noteSent: (backend: Backend) => void
  /** The head of an answer came. */
  noteAnswer: (backend: Backend, head: AnswerHead) => void
}
