/**
 * What gateways tell each other of the requests that backend servers take, as
 * heartbeats and their answers carry it.
 */
import type { ReportedLimit } from '../backends/intake-state.js'
import * as z from 'zod'

/** The limit of one backend server, or its end. */
export interface LimitMessage extends ReportedLimit {
  /** Id of the backend server. */
  backend: string
  /** Names its process, also where a later one has its id. */
  life: string
}

/** Checks the limit of one backend server. */
export const limitMessageSchema = z.object({
  backend: z.string(),
  life: z.string(),
  limitPerSecond: z.number().nonnegative().optional(),
  ageMs: z.number().nonnegative(),
})

/** A backend server that says in its answers that it leaves. */
export interface LeavingMessage {
  /** Id of the backend server. */
  backend: string
  /** Names its process, also where a later one has its id. */
  life: string
}

/** Checks a backend server that leaves. */
export const leavingMessageSchema = z.object({ backend: z.string(), life: z.string() })
