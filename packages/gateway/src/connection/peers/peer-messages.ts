/**
 * Messages between gateways, as they stand on the wire. Two releases run side
 * by side during a rolling restart, so the field names of the first release
 * stay; they are decoded here, once, into the types of the rest of the code.
 */
import type { Result } from 'ts-results-es'
import type { BackendChange } from '../backends/backend.js'
import type { CrashExchangeMessage } from './crash-exchange.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs, StageProgress } from './preparation.js'
import { Err, Ok } from 'ts-results-es'
import * as z from 'zod'

/** A gateway's heartbeat to another. */
export const heartbeatSchema = z.object({
  name: z.string(),
  /** `IP:PORT` for its peers. */
  address: z.string(),
  /** Configuration version that the sender holds. */
  version: z.number(),
  /** Revision of the sender's list of backend servers; absent in releases that do not pass it on. */
  backends: z.number().optional(),
  /** Crashes that the sender tells; checked by whoever takes it. */
  crashes: z.unknown().optional(),
})

/** A gateway's heartbeat to another. */
export type Heartbeat = z.infer<typeof heartbeatSchema>

/** Answer to a heartbeat. */
export interface HeartbeatReply {
  /** Configuration version that the peer holds. */
  version: number
  /** Revision of the peer's list of backend servers; absent in releases that do not pass it on. */
  backends?: number
  /** The changes of that list since the revision of the heartbeat, where the peer still knows them all. */
  backendChanges?: BackendChange[]
  /** Crashes that the peer tells; absent where it has none to tell, and in releases that do not. */
  crashes?: CrashExchangeMessage
  /** It is stopping: the coordinator's role passes to another gateway. */
  stopping: boolean
  /** It is short of processor time: the role passes to a gateway that is not, where there is one. */
  slow: boolean
  /** Place of its announcement in the directory; absent while it does not know it. */
  announcementOrder?: number
}

const progressSchema = z.object({
  stage: z.number().int(),
  results: z.array(z.object({
    handle: z.string(),
    /** Id of the backend server. */
    replica: z.string(),
    bytes: z.number(),
    remainingMs: z.number(),
  })),
})

const requestSchema = z.object({
  requestId: z.string(),
  stages: z.array(z.object({
    service: z.string(),
    dependsOn: z.array(z.number().int()),
    resultBytes: z.number(),
    /** Items of the stage. */
    pieces: z.number().int(),
  })),
  key: z.string(),
  priority: z.number(),
  targetMs: z.number(),
  deadlineMs: z.number(),
  /** The request is a retry. */
  returning: z.boolean(),
  /** Failure domain of the backend server that will read the results. */
  zone: z.string(),
  fingerprint: z.string().optional(),
  service: z.string().optional(),
  prompt: z.array(z.object({ id: z.string(), tokens: z.number() })).optional(),
  shard: z.string().optional(),
  progress: z.array(progressSchema).optional(),
})

/** A preparation request on the wire. */
export type PreparationRequestMessage = z.infer<typeof requestSchema>

type ProgressMessage = z.infer<typeof progressSchema>

interface FailureMessage extends Omit<PreparationFailure, 'progress'> {
  progress?: ProgressMessage[]
}

/** How stage work ended, on the wire. */
export type PreparationReplyMessage
  = | { prepared: { handles: string[], zone: string, bytes: number, engine?: string } }
    | { failure: FailureMessage }

/** Checks a preparation request and decodes it. */
export const preparationRequestSchema = requestSchema.transform(decodeRequest)

/** Encodes a preparation request. */
export function encodePreparationRequest(request: PreparationRequest): PreparationRequestMessage {
  const { stages, isRetry, failureDomain, progress, ...rest } = request
  return {
    ...rest,
    stages: stages.map(({ items, ...stage }) => ({ ...stage, pieces: items })),
    returning: isRetry,
    zone: failureDomain,
    progress: progress?.map(encodeProgress),
  }
}

function decodeRequest(message: PreparationRequestMessage): PreparationRequest {
  const { stages, returning, zone, progress, ...rest } = message
  return {
    ...rest,
    stages: stages.map(({ pieces, ...stage }) => ({ ...stage, items: pieces })),
    isRetry: returning,
    failureDomain: zone,
    progress: progress?.map(decodeProgress),
  }
}

/** Encodes how stage work ended. */
export function encodePreparationReply(result: Result<PreparedInputs, PreparationFailure>): PreparationReplyMessage {
  if (result.isOk()) {
    const { failureDomain, ...rest } = result.value
    return { prepared: { ...rest, zone: failureDomain } }
  }
  const { progress, ...failure } = result.error
  return { failure: { ...failure, progress: progress?.map(encodeProgress) } }
}

/** Decodes how stage work ended. */
export function decodePreparationReply(message: PreparationReplyMessage): Result<PreparedInputs, PreparationFailure> {
  if ('prepared' in message) {
    const { zone, ...rest } = message.prepared
    return Ok({ ...rest, failureDomain: zone })
  }
  const { progress, ...failure } = message.failure
  return Err({ ...failure, progress: progress?.map(decodeProgress) })
}

function encodeProgress({ stage, results }: StageProgress): ProgressMessage {
  return { stage, results: results.map(({ backend, ...result }) => ({ ...result, replica: backend })) }
}

function decodeProgress({ stage, results }: ProgressMessage): StageProgress {
  return { stage, results: results.map(({ replica, ...result }) => ({ ...result, backend: replica })) }
}
