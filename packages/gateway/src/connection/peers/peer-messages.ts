/**
 * Messages between gateways, as they stand on the wire. Two releases run side
 * by side during a rolling restart, so the field names of the first release
 * stay; they are decoded here, once, into the types of the rest of the code.
 */
import type { Result } from 'ts-results-es'
import type { EvacuationOrder } from '../../version/evacuation-order.js'
import type { BackendChange, ListedBackends } from '../backends/backend.js'
import type { CrashExchangeMessage } from './crash-exchange.js'
import type { LeavingMessage, LimitMessage } from './intake-message.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs, StageProgress } from './preparation.js'
import { Err, Ok } from 'ts-results-es'
import * as z from 'zod'
import { positionOf, revisionAt } from '../backends/revision.js'
import { leavingMessageSchema, limitMessageSchema } from './intake-message.js'

const evacuationSchema = z.object({ failureDomain: z.string(), evacuated: z.boolean(), revision: z.number() })

const heartbeatFields = z.object({
  name: z.string(),
  /** `IP:PORT` for its peers. */
  address: z.string(),
  /** Configuration version that the sender holds. */
  version: z.number(),
  /** Offset up to which the sender has the list of backend servers; absent in releases that do not pass it on. */
  backends: z.number().optional(),
  /** Era of that offset; absent where it is 0, and in releases that know none. */
  backendsEra: z.number().optional(),
  /** Crashes that the sender tells; checked by whoever takes it. */
  crashes: z.unknown().optional(),
  /** Orders about failure domains that the sender knows; absent where it knows none, and in releases that do not pass them on. */
  evacuations: z.array(evacuationSchema).optional(),
  /** Limits of backend servers that changed lately; absent where none did, and in releases that do not pass them on. */
  limits: z.array(limitMessageSchema).optional(),
  /** Backend servers that say in their answers that they leave; absent where none does, and in releases that do not pass it on. */
  leaving: z.array(leavingMessageSchema).optional(),
})

/** A gateway's heartbeat to another, as it stands on the wire. */
type HeartbeatMessage = z.infer<typeof heartbeatFields>

/** A gateway's heartbeat to another. */
export interface Heartbeat {
  name: string
  address: string
  version: number
  /** Revision of the sender's list of backend servers; absent in releases that do not pass it on. */
  backends?: number
  crashes?: unknown
  evacuations?: EvacuationOrder[]
  limits?: LimitMessage[]
  leaving?: LeavingMessage[]
}

/** Checks a heartbeat and decodes it. */
export const heartbeatSchema = heartbeatFields.transform(decodeHeartbeat)

/** Encodes a heartbeat. */
export function encodeHeartbeat(heartbeat: Heartbeat): HeartbeatMessage {
  return { ...heartbeat, ...encodePlace(heartbeat.backends) }
}

function decodeHeartbeat({ backendsEra, ...rest }: HeartbeatMessage): Heartbeat {
  return rest.backends === undefined ? rest : { ...rest, backends: decodePlace(rest.backends, backendsEra) }
}

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
  /** Orders about failure domains that the peer knows; absent where it knows none, and in releases that do not pass them on. */
  evacuations?: EvacuationOrder[]
  /** Limits of backend servers that changed lately; absent where none did, and in releases that do not pass them on. */
  limits?: LimitMessage[]
  /** Backend servers that say in their answers that they leave; absent where none does, and in releases that do not pass it on. */
  leaving?: LeavingMessage[]
  /** Its source of backend servers does not answer; absent where it does, and in releases that do not say so. */
  sourceAway?: boolean
  /** It is stopping: the coordinator's role passes to another gateway. */
  stopping: boolean
  /** It is short of processor time: the role passes to a gateway that is not, where there is one. */
  slow: boolean
  /** Place of its announcement in the directory; absent while it does not know it. */
  announcementOrder?: number
}

/** Answer to a heartbeat as it stands on the wire: revisions are offsets of one era. */
export interface HeartbeatReplyMessage extends HeartbeatReply {
  backendsEra?: number
}

/** Encodes the answer to a heartbeat. */
export function encodeHeartbeatReply(reply: HeartbeatReply): HeartbeatReplyMessage {
  const { era } = positionOf(reply.backends ?? 0)
  const backendChanges = reply.backendChanges?.map(change => ({ ...change, revision: offsetIn(era, change.revision) }))
  return { ...reply, ...encodePlace(reply.backends), backendChanges }
}

/** Decodes the answer to a heartbeat. */
export function decodeHeartbeatReply({ backendsEra, ...reply }: HeartbeatReplyMessage): HeartbeatReply {
  const backendChanges = reply.backendChanges?.map(change => ({ ...change, revision: decodePlace(change.revision, backendsEra) }))
  return { ...reply, backends: decodePlace(reply.backends, backendsEra), backendChanges }
}

/** The list of backend servers as it stands on the wire: revisions are offsets of one era, absent where it is 0. */
export interface ListedBackendsMessage extends ListedBackends {
  era?: number
}

/** Encodes the list of backend servers. */
export function encodeListedBackends(list: ListedBackends): ListedBackendsMessage {
  const { era, offset } = positionOf(list.revision)
  const entries = list.entries.map(entry => ({ ...entry, revision: offsetIn(era, entry.revision) }))
  return { ...list, revision: offset, era: era || undefined, entries }
}

/** Decodes the list of backend servers. */
export function decodeListedBackends({ era, ...list }: ListedBackendsMessage): ListedBackends {
  const entries = list.entries.map(entry => ({ ...entry, revision: decodePlace(entry.revision, era) }))
  return { ...list, revision: decodePlace(list.revision, era), entries }
}

function encodePlace(revision: number | undefined): { backends?: number, backendsEra?: number } {
  if (revision === undefined)
    return {}
  const { era, offset } = positionOf(revision)
  return { backends: offset, backendsEra: era || undefined }
}

function decodePlace<Offset extends number | undefined>(offset: Offset, era = 0): Offset {
  return (offset === undefined ? undefined : revisionAt({ era, offset })) as Offset
}

/** The offset of a revision in an era; 0, before all of that era, for one of an earlier era. */
function offsetIn(era: number, revision: number): number {
  const position = positionOf(revision)
  return position.era === era ? position.offset : 0
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
