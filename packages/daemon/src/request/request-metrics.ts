/**
 * Interfaces through which request handling reports metrics. The process owns the
 * metrics and defines their names.
 */
import type { StageCall, StageReply } from '../connection/messages.js'

/** Result of a request with respect to its deadline. */
export enum RequestEnd {
  /** Completed within its deadline. */
  Attained = 'attained',
  /** Completed after its deadline. */
  Late = 'late',
  Error = 'error',
}

/** Metrics of the requests of an entry. */
export interface RequestMetrics {
  recordRequest: (target: string, priority: string, end: RequestEnd, milliseconds: number) => void
  recordError: (kind: string, ran: string) => void
  recordCost: (stage: string, cost: number, wasted: boolean) => void
  recordRetry: (stage: string, cause: string) => void
  recordClaim: (result: string) => void
  setInFlight: (count: number) => void
}

/** Metrics of the stage calls of a side. */
export interface StageMetrics {
  recordStage: (call: StageCall, reply: StageReply, serviceMs: number) => void
  recordRefusal: (reason: string) => void
}
