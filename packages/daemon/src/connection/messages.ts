/**
 * Messages between the system's processes, validated by their schemas on receipt.
 * Two releases communicate during a rolling restart, so fields must keep their
 * names, and new fields need a default.
 */
import * as z from 'zod'
import { ObjectKind, Priority } from '../version/objects.js'
import { NO_OFFSET, versionedObjectSchema } from '../version/record.js'

/** Maximum stage input between processes, in characters: 15 times the largest body that entries accept by default. */
const MAX_STAGE_INPUT_LENGTH = 4_000_000

/**
 * Maximum number of stage results acknowledged by one heartbeat: 20 times the
 * number that makes a heartbeat due. The side evicts results beyond it by age.
 */
export const MAX_ACKNOWLEDGEMENTS = 10_000

/** Load of a backend server, reported by its side. */
export const loadSchema = z.object({
  running: z.int().min(0),
  /** Number of queued calls by priority. */
  queued: z.object({
    [Priority.High]: z.int().min(0),
    [Priority.Normal]: z.int().min(0),
    [Priority.Low]: z.int().min(0),
  }),
  slots: z.int().min(1),
  /** Recent mean service time in milliseconds; 0 if nothing has run yet. */
  meanServiceMs: z.number().min(0),
  /** Whether the side is draining and accepts no new work. */
  draining: z.boolean(),
})

/** First message on a connection, repeated by entries on their links to sides. */
export const heartbeatSchema = z.object({
  incarnation: z.uuid(),
  name: z.string(),
  offset: z.int().min(NO_OFFSET),
  /** Whether the log recently confirmed the sender's configuration. */
  fresh: z.boolean().default(false),
  /** Keys of stage calls whose results the sender has received. */
  acknowledged: z.array(z.string()).max(MAX_ACKNOWLEDGEMENTS).default([]),
})

/** Reply to a heartbeat. */
export const heartbeatReplySchema = z.object({
  incarnation: z.uuid(),
  name: z.string(),
  offset: z.int().min(NO_OFFSET),
  load: loadSchema.optional(),
})

/** Identity of one stage call; its reply carries the same identity. */
export const stageIdentitySchema = z.object({
  entryIncarnation: z.uuid(),
  account: z.string(),
  requestId: z.string(),
  stage: z.string(),
  attempt: z.int().min(1),
  /** Process incarnation of the side that the call is addressed to. */
  sideIncarnation: z.uuid(),
})

/** A call to a plain service. */
export const serviceRequestSchema = z.object({
  method: z.string(),
  path: z.string(),
})

/** A call of one stage to one backend server. */
export const stageCallSchema = z.object({
  identity: stageIdentitySchema,
  backend: z.string(),
  service: z.string(),
  model: z.string().optional(),
  version: z.string().optional(),
  adapter: z.string().optional(),
  priority: z.enum(Priority),
  /** Time within which the stage must finish, measured from its arrival at the side. */
  budgetMs: z.number(),
  maxTokens: z.int().min(1),
  input: z.string().max(MAX_STAGE_INPUT_LENGTH),
  /** Set for calls to plain services. */
  serviceRequest: serviceRequestSchema.optional(),
  /** Offset of the configuration under which the call was made. */
  offset: z.int().min(NO_OFFSET),
})

/** Outcome of a stage call. */
export enum StageReplyKind {
  Done = 'done',
  /** The call was provably not started. */
  Refused = 'refused',
  /** The call was started, and failed or was cancelled. */
  Failed = 'failed',
}

/** Why a side refused a call. */
export enum RefusalReason {
  Full = 'full',
  Late = 'late',
  Draining = 'draining',
  Stale = 'stale',
  /** The call was addressed to another process incarnation or backend server. */
  OtherIncarnation = 'other-incarnation',
  WrongModel = 'wrong-model',
  /** A plain service call to a stage's backend server, or a stage call to a plain service. */
  WrongRole = 'wrong-role',
  BackendRefused = 'backend-refused',
  Cancelled = 'cancelled',
}

/** Why a call failed after it was started. */
export enum FailureReason {
  BackendFailed = 'backend-failed',
  BackendLost = 'backend-lost',
  Truncated = 'truncated',
  BudgetExceeded = 'budget-exceeded',
  Cancelled = 'cancelled',
}

const replyBase = {
  identity: stageIdentitySchema,
  offset: z.int().min(NO_OFFSET),
  load: loadSchema,
}

/** The final reply to a stage call. */
export const stageReplySchema = z.discriminatedUnion('kind', [
  z.object({
    ...replyBase,
    kind: z.literal(StageReplyKind.Done),
    output: z.string(),
    /** HTTP status of a plain service's response. */
    status: z.int().optional(),
    contentType: z.string().optional(),
    tokens: z.int().min(0),
    queueMs: z.number(),
    serviceMs: z.number(),
  }),
  z.object({
    ...replyBase,
    kind: z.literal(StageReplyKind.Refused),
    reason: z.enum(RefusalReason),
    retryAfterMs: z.number(),
  }),
  z.object({
    ...replyBase,
    kind: z.literal(StageReplyKind.Failed),
    reason: z.enum(FailureReason),
    message: z.string(),
    serviceMs: z.number(),
  }),
])

/** One message of a streamed stage call. */
export const streamMessageSchema = z.union([
  z.object({ token: z.object({ index: z.int().min(0), text: z.string() }) }),
  z.object({ reply: stageReplySchema }),
])

/** Configuration objects that one process has and another lacks. */
export const differenceSchema = z.object({
  offset: z.int().min(NO_OFFSET),
  objects: z.array(versionedObjectSchema),
})

/** Requests the configuration objects above an offset. */
export const differenceRequestSchema = z.object({
  since: z.int().min(NO_OFFSET),
  kinds: z.array(z.enum(ObjectKind)),
})

/** A request forwarded to the entry that issued its ticket or holds its claim. */
export const forwardedRequestSchema = z.object({
  account: z.string(),
  requestId: z.string(),
  /** Pipeline name or service call, as used in the request digest. */
  target: z.string(),
  pipeline: z.string().optional(),
  service: z.string().optional(),
  serviceRequest: serviceRequestSchema.optional(),
  body: z.string(),
  deadlineMs: z.number(),
  /** The ticket, if the request is to be run under it. */
  ticket: z.string().optional(),
})

/** State of a request as known to an entry. */
export enum OutcomeState {
  Unknown = 'unknown',
  Running = 'running',
  Finished = 'finished',
  /** The request ended before any stage was dispatched. */
  NotRun = 'not-run',
}

/** Queries an entry for the outcome of a request. */
export const outcomeQuerySchema = z.object({ account: z.string(), requestId: z.string() })

/** Queries a side for the finished result of a stage of a request. */
export const resultQuerySchema = outcomeQuerySchema.extend({
  stage: z.string(),
  /** The caller's input; excludes a different request with the same id. */
  body: z.string(),
})

/** Reply to an outcome query. */
export const outcomeReplySchema = z.object({
  state: z.enum(OutcomeState),
  /** The finished answer as JSON text. */
  answer: z.string().optional(),
  /** Whether the entry has read a claim of the request from the claim stream. */
  claimed: z.boolean(),
})

export type Load = z.infer<typeof loadSchema>
export type Heartbeat = z.infer<typeof heartbeatSchema>
export type HeartbeatReply = z.infer<typeof heartbeatReplySchema>
export type StageIdentity = z.infer<typeof stageIdentitySchema>
export type StageCall = z.infer<typeof stageCallSchema>
export type ServiceRequest = z.infer<typeof serviceRequestSchema>
export type StageReply = z.infer<typeof stageReplySchema>
export type DoneReply = Extract<StageReply, { kind: StageReplyKind.Done }>
export type RefusedReply = Extract<StageReply, { kind: StageReplyKind.Refused }>
export type FailedReply = Extract<StageReply, { kind: StageReplyKind.Failed }>
export type StreamMessage = z.infer<typeof streamMessageSchema>
export type DifferenceRequest = z.infer<typeof differenceRequestSchema>
export type ForwardedRequest = z.infer<typeof forwardedRequestSchema>
export type OutcomeQuery = z.infer<typeof outcomeQuerySchema>
export type ResultQuery = z.infer<typeof resultQuerySchema>
export type OutcomeReply = z.infer<typeof outcomeReplySchema>

/** Result of a cancellation. */
export interface CancelReply {
  /** Whether the stage had already started. */
  started: boolean
}

/** The key by which a side identifies a stage call. */
export function stageKey(identity: StageIdentity): string {
  return [identity.entryIncarnation, identity.account, identity.requestId, identity.stage, identity.attempt].join('/')
}

/** Whether a reply belongs to a call. */
export function matchesCall(call: StageIdentity, reply: StageIdentity): boolean {
  return stageKey(call) === stageKey(reply) && call.sideIncarnation === reply.sideIncarnation
}
