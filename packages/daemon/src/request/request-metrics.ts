/**
 * What request handling counts and measures; the process holds the metrics
 * and gives them their names.
 */
import type { StageCall, StageReply } from '../connection/messages.js'

/** How a request ended, for attainment. */
export enum RequestEnd {
  /** Whole, within its deadline. */
  Attained = 'attained',
  /** Whole, after its deadline. */
  Late = 'late',
  Error = 'error',
}

/** Metrics of an entry's requests. */
export interface RequestMetrics {
  recordRequest: (target: string, priority: string, end: RequestEnd, milliseconds: number) => void
  recordError: (kind: string, ran: string) => void
  recordCost: (stage: string, cost: number, wasted: boolean) => void
  recordRetry: (stage: string, cause: string) => void
  recordClaim: (result: string) => void
  setInFlight: (count: number) => void
}

/** Metrics of a side's stage calls. */
export interface StageMetrics {
  recordStage: (call: StageCall, reply: StageReply, serviceMs: number) => void
  recordRefusal: (reason: string) => void
}
