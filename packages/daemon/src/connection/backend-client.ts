/**
 * What this program needs of a backend server: a model engine, a pool or a
 * plain service. Every end of a call says whether the run may have happened,
 * since the request decides by it whether to call again.
 */
import type { Result } from 'ts-results-es'
import type { CallError } from '../version/call-error.js'
import type { StageCall } from './messages.js'
import * as z from 'zod'

/** How a call to a backend server ended. */
export enum BackendOutcome {
  Done = 'done',
  /** The backend server has provably not started. */
  Refused = 'refused',
  /** The backend server says that the run failed. */
  Failed = 'failed',
  /** The connection was lost; the run may have happened. */
  Lost = 'lost',
  /** The stream ended before its end mark. */
  Truncated = 'truncated',
  /** Stopped by this side. */
  Stopped = 'stopped',
}

/** The end of a call to a backend server. */
export interface BackendResult {
  outcome: BackendOutcome
  /** The output; empty where the call was not done. */
  output: string
  tokens: number
  /** Why the call was not done; empty where it was. */
  message: string
  /** HTTP status of a plain service's answer. */
  status?: number
  contentType?: string
}

/** What a backend server answers to a load request. */
export const backendLoadSchema = z.object({
  running: z.int().min(0),
  /** Whether it is about to leave. */
  draining: z.boolean().default(false),
  /** The backend server's process life; another one holds no model. */
  instance: z.string().default(''),
})

/** Load as a backend server reports it. */
export type BackendLoad = z.infer<typeof backendLoadSchema>

/** An order to a backend server, with its fence. */
export interface BackendOrderMessage {
  /** Fencing token: the offset of the configuration that the order was made from. */
  fence: number
  model?: string
  version?: string
  adapters: string[]
}

/** A client of a backend server. */
export interface BackendClient {
  /** Runs a stage call until it ends or the signal aborts; streams tokens where a listener is given. Never rejects. */
  run: (call: StageCall, signal: AbortSignal, onToken?: (text: string) => void) => Promise<BackendResult>
  /** Reads the load. */
  readLoad: () => Promise<Result<BackendLoad, CallError>>
  /** Sends an order; an error says why the backend server did not acknowledge it. */
  order: (order: BackendOrderMessage) => Promise<Result<void, CallError>>
  close: () => Promise<void>
}
