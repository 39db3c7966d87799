/**
 * Wire format of messages between gateways. During a rolling upgrade, two
 * releases run side by side, so fields keep their names from the first release;
 * this module converts them to the types used everywhere else.
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
  /** Version of the configuration that the sender has. */
  version: z.number(),
  /** Offset up to which the sender has the list of backend servers; omitted by releases that do not share the list. */
  backends: z.number().optional(),
  /** Era of that offset; omitted if it is 0, and by releases without eras. */
  backendsEra: z.number().optional(),
  /** Crash reports; validated where they are processed. */
  crashes: z.unknown().optional(),
  /** Evacuation orders that the sender knows; omitted if there are none, and by releases that do not share them. */
  evacuations: z.array(evacuationSchema).optional(),
  /** Recently changed rate limits of backend servers; omitted if there are none, and by releases that do not share them. */
  limits: z.array(limitMessageSchema).optional(),
  /** Backend servers that have announced that they are leaving; omitted if there are none, and by releases that do not share them. */
  leaving: z.array(leavingMessageSchema).optional(),
  /** Report of the load exchange; validated where it is processed. */
  load: z.unknown().optional(),
})

/** Wire format of a heartbeat. */
type HeartbeatMessage = z.infer<typeof heartbeatFields>

/** A heartbeat from one gateway to another. */
export interface Heartbeat {
  name: string
  address: string
  version: number
  /** Revision of the sender's list of backend servers; undefined for releases that do not share the list. */
  backends?: number
  crashes?: unknown
  evacuations?: EvacuationOrder[]
  limits?: LimitMessage[]
  leaving?: LeavingMessage[]
  load?: unknown
}

/** Validates and decodes a heartbeat. */
export const heartbeatSchema = heartbeatFields.transform(decodeHeartbeat)

export function encodeHeartbeat(heartbeat: Heartbeat): HeartbeatMessage {
  return { ...heartbeat, ...encodeListRevision(heartbeat.backends) }
}

function decodeHeartbeat({ backendsEra, ...rest }: HeartbeatMessage): Heartbeat {
  return rest.backends === undefined ? rest : { ...rest, backends: decodeRevision(rest.backends, backendsEra) }
}

/** Response to a heartbeat. */
export interface HeartbeatReply {
  /** Version of the configuration that the peer has. */
  version: number
  /** Revision of the peer's list of backend servers; undefined for releases that do not share the list. */
  backends?: number
  /** Changes to that list since the revision in the heartbeat, if the peer still has all of them. */
  backendChanges?: BackendChange[]
  /** Crash reports; undefined if there are none, and for releases that do not share them. */
  crashes?: CrashExchangeMessage
  /** Evacuation orders that the peer knows; undefined if there are none, and for releases that do not share them. */
  evacuations?: EvacuationOrder[]
  /** Recently changed rate limits of backend servers; undefined if there are none, and for releases that do not share them. */
  limits?: LimitMessage[]
  /** Backend servers that have announced that they are leaving; undefined if there are none, and for releases that do not share them. */
  leaving?: LeavingMessage[]
  /** Answer of the load exchange; undefined if there is none, and for releases without it. Validated where it is processed. */
  load?: unknown
  /** Whether the peer's source of backend servers is unavailable; undefined if it is available, and for releases that do not report it. */
  sourceAway?: boolean
  /** Milliseconds since the peer knew its configuration version to be the newest; undefined if it never did, and for releases that do not report it. */
  versionAgeMs?: number
  /** Number of gateways that the peer lists, itself included; undefined for releases that do not report it. */
  members?: number
  /** The peer is shutting down, so another gateway takes over as coordinator. */
  stopping: boolean
  /** The peer is short of CPU time; another gateway takes over as coordinator if there is one that is not. */
  slow: boolean
  /** Position of its announcement in the directory; undefined while it is unknown. */
  announcementOrder?: number
}

/** Wire format of the response to a heartbeat: revisions are sent as offsets within one era. */
export interface HeartbeatReplyMessage extends HeartbeatReply {
  backendsEra?: number
}

export function encodeHeartbeatReply(reply: HeartbeatReply): HeartbeatReplyMessage {
  const { era } = positionOf(reply.backends ?? 0)
  const backendChanges = reply.backendChanges?.map(change => ({ ...change, revision: offsetIn(era, change.revision) }))
  return { ...reply, ...encodeListRevision(reply.backends), backendChanges }
}

export function decodeHeartbeatReply({ backendsEra, ...reply }: HeartbeatReplyMessage): HeartbeatReply {
  const backendChanges = reply.backendChanges?.map(change => ({ ...change, revision: decodeRevision(change.revision, backendsEra) }))
  return { ...reply, backends: decodeRevision(reply.backends, backendsEra), backendChanges }
}

/** Wire format of the list of backend servers: revisions are sent as offsets within one era, which is omitted if it is 0. */
export interface ListedBackendsMessage extends ListedBackends {
  era?: number
}

export function encodeListedBackends(list: ListedBackends): ListedBackendsMessage {
  const { era, offset } = positionOf(list.revision)
  const entries = list.entries.map(entry => ({ ...entry, revision: offsetIn(era, entry.revision) }))
  return { ...list, revision: offset, era: era || undefined, entries }
}

export function decodeListedBackends({ era, ...list }: ListedBackendsMessage): ListedBackends {
  const entries = list.entries.map(entry => ({ ...entry, revision: decodeRevision(entry.revision, era) }))
  return { ...list, revision: decodeRevision(list.revision, era), entries }
}

function encodeListRevision(revision: number | undefined): { backends?: number, backendsEra?: number } {
  if (revision === undefined)
    return {}
  const { era, offset } = positionOf(revision)
  return { backends: offset, backendsEra: era || undefined }
}

function decodeRevision<Offset extends number | undefined>(offset: Offset, era = 0): Offset {
  return (offset === undefined ? undefined : revisionAt({ era, offset })) as Offset
}

/** The offset of a revision in an era. For a revision of an earlier era it is 0, which precedes all offsets of the era. */
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
    /** Number of items of the stage. */
    pieces: z.number().int(),
  })),
  key: z.string(),
  priority: z.number(),
  targetMs: z.number(),
  deadlineMs: z.number(),
  /** Whether the request is a retry. */
  returning: z.boolean(),
  /** Failure domain of the backend server that will read the results. */
  zone: z.string(),
  fingerprint: z.string().optional(),
  /** Name of the client account. */
  account: z.string().optional(),
  service: z.string().optional(),
  softwareVersion: z.string().optional(),
  prompt: z.array(z.object({ id: z.string(), tokens: z.number() })).optional(),
  shard: z.string().optional(),
  progress: z.array(progressSchema).optional(),
})

/** Wire format of a preparation request. */
export type PreparationRequestMessage = z.infer<typeof requestSchema>

type ProgressMessage = z.infer<typeof progressSchema>

interface FailureMessage extends Omit<PreparationFailure, 'progress'> {
  progress?: ProgressMessage[]
}

/** Wire format of the outcome of a preparation request. */
export type PreparationReplyMessage
  = | { prepared: { handles: string[], zone: string, bytes: number, engine?: string } }
    | { failure: FailureMessage }

/** Validates and decodes a preparation request. */
export const preparationRequestSchema = requestSchema.transform(decodeRequest)

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

/** Encodes the outcome of a preparation request. */
export function encodePreparationReply(result: Result<PreparedInputs, PreparationFailure>): PreparationReplyMessage {
  if (result.isOk()) {
    const { failureDomain, ...rest } = result.value
    return { prepared: { ...rest, zone: failureDomain } }
  }
  const { progress, ...failure } = result.error
  return { failure: { ...failure, progress: progress?.map(encodeProgress) } }
}

/** Decodes the outcome of a preparation request. */
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
