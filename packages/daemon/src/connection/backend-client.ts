/**
 * Interface to a backend server: a model engine, a pool or a plain service. The
 * outcome of each call states whether the run may have happened, because the
 * request uses it to decide whether to retry.
 */
import type { Result } from 'ts-results-es'
import type { CallError } from '../version/call-error.js'
import type { StageCall } from './messages.js'
import * as z from 'zod'

/** How a call to a backend server ended. */
export enum BackendOutcome {
  Done = 'done',
  /** The backend server provably did not start the run. */
  Refused = 'refused',
  /** The backend server reported that the run failed. */
  Failed = 'failed',
  /** The connection was lost; the run may have happened. */
  Lost = 'lost',
  /** The stream ended before its end marker, or with missing tokens. */
  Truncated = 'truncated',
  /** Aborted by this side. */
  Stopped = 'stopped',
}

/** The result of a call to a backend server. */
export interface BackendResult {
  outcome: BackendOutcome
  /** The output; empty unless the call succeeded. */
  output: string
  tokens: number
  /** Why the call did not succeed; empty if it did. */
  message: string
  /** HTTP status of a plain service's response. */
  status?: number
  contentType?: string
}

/** Response of a backend server to a load request. */
export const backendLoadSchema = z.object({
  running: z.int().min(0),
  /** Whether the backend server is draining before it shuts down. */
  draining: z.boolean().default(false),
  /** Identifies the backend server's process incarnation; a new one has no model loaded. */
  instance: z.string().default(''),
})

/** Load reported by a backend server. */
export type BackendLoad = z.infer<typeof backendLoadSchema>

/** An order to a backend server, with its fencing token. */
export interface BackendOrderMessage {
  /** Fencing token: the offset of the configuration that the order was created from. */
  fence: number
  model?: string
  version?: string
  adapters: string[]
}

export interface BackendClient {
  /** Runs a stage call until it ends or the signal aborts; streams tokens if a listener is given. Never rejects. */
  run: (call: StageCall, signal: AbortSignal, onToken?: (text: string) => void) => Promise<BackendResult>
  readLoad: () => Promise<Result<BackendLoad, CallError>>
  /** Sends an order; an error states why the backend server did not acknowledge it. */
  order: (order: BackendOrderMessage) => Promise<Result<void, CallError>>
  close: () => Promise<void>
}
