/**
 * What a request asks of its preparing stages, and what it gets.
 */
import type { Result } from 'ts-results-es'
import { z } from 'zod'

export const preparationStageSchema = z.object({
  service: z.string(),
  dependsOn: z.array(z.number().int()),
  resultBytes: z.number(),
  pieces: z.number().int(),
})

/** A stage that an earlier owner has done; its results are empty where all their readers have them. */
export const stageProgressSchema = z.object({
  stage: z.number().int(),
  results: z.array(z.object({
    handle: z.string(),
    /** Id of the backend server that holds it. */
    replica: z.string(),
    bytes: z.number(),
    /** Milliseconds until it ends by itself. */
    remainingMs: z.number(),
  })),
})

/** A stage that an earlier owner has done. */
export type StageProgress = z.infer<typeof stageProgressSchema>

export const preparationRequestSchema = z.object({
  requestId: z.string(),
  stages: z.array(preparationStageSchema),
  /** What stages without inputs work on. */
  key: z.string(),
  /** 0 is the most urgent. */
  priority: z.number(),
  /** Milliseconds left until an answer is late; negative where it is late. */
  targetMs: z.number(),
  /** Milliseconds left until the client gives up. */
  deadlineMs: z.number(),
  /** The client was told to come back, and did. */
  returning: z.boolean(),
  /** Zone of the replica that will read the results. */
  zone: z.string(),
  /** What an earlier owner has done and handed over. */
  progress: z.array(stageProgressSchema).optional(),
})

/** The stage work of one request. */
export type PreparationRequest = z.infer<typeof preparationRequestSchema>
/** One stage of it. */
export type PreparationStage = z.infer<typeof preparationStageSchema>

/** Results for the request's replica. */
export interface PreparedInputs {
  handles: string[]
  /** Zone in which most of their bytes lie. */
  zone: string
  bytes: number
}

/** Why stage work was given up. */
export enum PreparationFailureKind {
  /** It cannot be done in time. */
  TooLate = 'too-late',
  /** More work waits than can be done; nothing was begun. */
  Overloaded = 'overloaded',
  /** No replica of a stage's service can be used. */
  NoReplica = 'no-replica',
  /** Pieces failed again and again. */
  Failed = 'failed',
  /** The owner is stopping; the next one takes the work. */
  HandedOver = 'handed-over',
  /** The request was given up. */
  Cancelled = 'cancelled',
}

/** Stage work that was given up; nothing that may not be repeated has run. */
export interface PreparationFailure {
  kind: PreparationFailureKind
  message: string
  /** When to come back, in milliseconds. */
  retryAfterMs: number
  /** What is done, where the work is handed over. */
  progress?: StageProgress[]
}

/** Does the stage work of requests. */
export interface Preparer {
  prepare: (request: PreparationRequest, signal: AbortSignal) => Promise<Result<PreparedInputs, PreparationFailure>>
  /** Gives the results of a request up. */
  release: (requestId: string) => void
}
