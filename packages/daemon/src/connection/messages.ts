/**
 * Messages between the system's processes. Each is checked by its schema where
 * it arrives. Two releases talk to each other during a rolling restart: fields
 * keep their names, and new ones need a default.
 */
import * as z from 'zod'
import { ObjectKind, Priority } from '../version/objects.js'
import { NO_OFFSET, versionedObjectSchema } from '../version/record.js'

/** Largest stage input between processes, in characters. 15 times the largest body that entries accept by default. */
const MAX_STAGE_INPUT_LENGTH = 4_000_000

/**
 * Stage results that one heartbeat can acknowledge. 20 times what
 * makes a heartbeat due; those beyond it leave the side's memory by their age.
 */
export const MAX_ACKNOWLEDGEMENTS = 10_000

/** Load of a backend server, as its side reports it. */
export const loadSchema = z.object({
  running: z.int().min(0),
  /** Calls that wait, by priority. */
  queued: z.object({
    [Priority.High]: z.int().min(0),
    [Priority.Normal]: z.int().min(0),
    [Priority.Low]: z.int().min(0),
  }),
  slots: z.int().min(1),
  /** Recent mean service time, in milliseconds; 0 where nothing ran yet. */
  meanServiceMs: z.number().min(0),
  /** Whether the side takes new work. */
  draining: z.boolean(),
})

/** First message on a connection, and again at each interval. */
export const heartbeatSchema = z.object({
  incarnation: z.uuid(),
  name: z.string(),
  offset: z.int().min(NO_OFFSET),
  /** Whether the log confirmed the sender's configuration a short while ago. */
  fresh: z.boolean().default(false),
  /** Keys of stage calls whose results the sender has taken. */
  acknowledged: z.array(z.string()).max(MAX_ACKNOWLEDGEMENTS).default([]),
})

/** Answer to a heartbeat. */
export const heartbeatReplySchema = z.object({
  incarnation: z.uuid(),
  name: z.string(),
  offset: z.int().min(NO_OFFSET),
  load: loadSchema.optional(),
})

/** The identity of one stage call; a reply names the same. */
export const stageIdentitySchema = z.object({
  entryIncarnation: z.uuid(),
  account: z.string(),
  requestId: z.string(),
  stage: z.string(),
  attempt: z.int().min(1),
  /** The side process life that the call is meant for. */
  sideIncarnation: z.uuid(),
})

/** A call to a plain service. */
export const serviceRequestSchema = z.object({
  method: z.string(),
  path: z.string(),
})

/** A call of one stage on one backend server. */
export const stageCallSchema = z.object({
  identity: stageIdentitySchema,
  backend: z.string(),
  service: z.string(),
  model: z.string().optional(),
  version: z.string().optional(),
  adapter: z.string().optional(),
  priority: z.enum(Priority),
  /** Milliseconds within which the stage must finish, from arrival at the side. */
  budgetMs: z.number(),
  maxTokens: z.int().min(1),
  input: z.string().max(MAX_STAGE_INPUT_LENGTH),
  /** Set for plain services. */
  serviceRequest: serviceRequestSchema.optional(),
  /** The configuration that the call was made under. */
  offset: z.int().min(NO_OFFSET),
})

/** How a stage call ended. */
export enum StageReplyKind {
  Done = 'done',
  /** Provably not started. */
  Refused = 'refused',
  /** Started, and failed or stopped. */
  Failed = 'failed',
}

/** Why a side refused a call. */
export enum RefusalReason {
  Full = 'full',
  Late = 'late',
  Draining = 'draining',
  Stale = 'stale',
  /** The call was meant for another process life or backend server. */
  OtherIncarnation = 'other-incarnation',
  WrongModel = 'wrong-model',
  /** A path call to a stage's backend server, or a stage call to a plain service. */
  WrongRole = 'wrong-role',
  BackendRefused = 'backend-refused',
  Cancelled = 'cancelled',
}

/** Why a started call failed. */
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

/** The one final reply to a stage call. */
export const stageReplySchema = z.discriminatedUnion('kind', [
  z.object({
    ...replyBase,
    kind: z.literal(StageReplyKind.Done),
    output: z.string(),
    /** HTTP status of a plain service's answer. */
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

/** A difference of configuration between two processes. */
export const differenceSchema = z.object({
  offset: z.int().min(NO_OFFSET),
  objects: z.array(versionedObjectSchema),
})

/** A request for a difference. */
export const differenceRequestSchema = z.object({
  since: z.int().min(NO_OFFSET),
  kinds: z.array(z.enum(ObjectKind)),
})

/** A request passed on to the entry that made its ticket or holds its claim. */
export const forwardedRequestSchema = z.object({
  account: z.string(),
  requestId: z.string(),
  /** Pipeline name or service call, as in the digest. */
  target: z.string(),
  pipeline: z.string().optional(),
  service: z.string().optional(),
  serviceRequest: serviceRequestSchema.optional(),
  body: z.string(),
  deadlineMs: z.number(),
  /** The ticket, where the request is to be run under it. */
  ticket: z.string().optional(),
})

/** What an entry knows of a request. */
export enum OutcomeState {
  Unknown = 'unknown',
  Running = 'running',
  Finished = 'finished',
  /** Ended before anything was dispatched. */
  NotRun = 'not-run',
}

/** Asks an entry for what it knows of a request. */
export const outcomeQuestionSchema = z.object({ account: z.string(), requestId: z.string() })

/** Asks a side for a finished result of a request's stage. */
export const resultQuestionSchema = outcomeQuestionSchema.extend({
  stage: z.string(),
  /** The caller's input: another request under the same id is not meant. */
  body: z.string(),
})

/** What an entry knows of a request and of the claim stream. */
export const outcomeReplySchema = z.object({
  state: z.enum(OutcomeState),
  /** The finished answer as JSON text. */
  answer: z.string().optional(),
  /** Whether the entry has seen a claim of the request. */
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
export type OutcomeQuestion = z.infer<typeof outcomeQuestionSchema>
export type ResultQuestion = z.infer<typeof resultQuestionSchema>
export type OutcomeReply = z.infer<typeof outcomeReplySchema>

/** What came of a cancel. */
export interface CancelReply {
  /** Whether the stage had started. */
  started: boolean
}

/** The key under which a side knows a stage call. */
export function stageKey(identity: StageIdentity): string {
  return [identity.entryIncarnation, identity.account, identity.requestId, identity.stage, identity.attempt].join('/')
}

/** Whether a reply answers the very call. */
export function answersCall(call: StageIdentity, reply: StageIdentity): boolean {
  return stageKey(call) === stageKey(reply) && call.sideIncarnation === reply.sideIncarnation
}
