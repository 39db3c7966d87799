/**
 * Wire format of the flow-control notices of backend servers that gateways share
 * in heartbeats and their responses.
 */
import type { ReportedLimit } from '../backends/intake-state.js'
import * as z from 'zod'

/** The rate limit of one backend server, or its end. */
export interface LimitMessage extends ReportedLimit {
  /** Id of the backend server. */
  backend: string
  /** Incarnation of the backend server, see `incarnationOf`. The field keeps its name, as releases run side by side. */
  life: string
}

export const limitMessageSchema = z.object({
  backend: z.string(),
  life: z.string(),
  limitPerSecond: z.number().nonnegative().optional(),
  ageMs: z.number().nonnegative(),
})

/** A backend server that has announced that it is leaving. */
export interface LeavingMessage {
  /** Id of the backend server. */
  backend: string
  /** Incarnation of the backend server, see `incarnationOf`. The field keeps its name, as releases run side by side. */
  life: string
}

export const leavingMessageSchema = z.object({ backend: z.string(), life: z.string() })
