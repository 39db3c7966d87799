/**
 * Publishes one change of the configuration and determines its outcome by reading
 * the record back. If two operators change the same version of an object, the first
 * change in log order succeeds and the second results in a conflict. Stateless: an
 * operator who does not receive the outcome finds the record with
 * `eidermast config history`.
 */
import type { LogClient, LogPage, LogRecord } from './log.js'
import type { ObjectKind } from './objects.js'
import type { ChangeRecord, CheckpointRecord } from './record.js'
import { createLogger, formatError, wait } from '@eidermast/common'
import { v7 as uuidv7 } from 'uuid'
import { CallFailure } from './call-error.js'
import { Configuration, FoldOutcome, parseRecord } from './configuration.js'
import { foldPage, hasGap } from './fold-page.js'
import { readConfigurationStream } from './read-stream.js'
import { CONFIGURATION_STREAM, NO_OFFSET, RecordKind } from './record.js'

const log = createLogger('configuration')

/** Outcome of a published change. */
export enum PublishOutcome {
  /** The change is active at the given offset. */
  Accepted = 'accepted',
  /** Another change came first. */
  Conflict = 'conflict',
  /** The change may have been appended, but the log did not confirm its outcome in time. */
  Unknown = 'unknown',
  /** The change was not appended: the log was unavailable, refused it or lacked a checkpoint. */
  Unreachable = 'unreachable',
}

/** Result of publishing a change. */
export interface Publication {
  outcome: PublishOutcome
  recordId: string
  /** Offset of the record, if known. */
  offset?: number
}

/** A change to publish. */
export interface PublishOptions {
  kind: ObjectKind
  name: string
  /** The new value, or null to delete the object. */
  value: unknown
  /** Offset of the version that the change is based on; read from the log if absent. */
  base?: number
  author?: string
  /**
   * Timeout in milliseconds, after which the outcome is reported as unknown.
   * @default 5000
   */
  timeoutMs?: number
}

/** Time for a loaded log to confirm the outcome before it is reported as unknown, at the cost of keeping the operator waiting. */
const PUBLISH_TIMEOUT_MS = 5000
/** Limits the load on an unavailable log, at the cost of a later result. */
const RETRY_MS = 100

/**
 * Reads the complete configuration from the log; undefined if the log is
 * unavailable or has dropped records that no retained checkpoint includes.
 */
export function readConfiguration(client: LogClient): Promise<Configuration | undefined> {
  return readCompleteConfiguration(client, Date.now())
}

/** Publishes a change and waits until its outcome is known or the timeout expires. */
export async function publishChange(client: LogClient, options: PublishOptions): Promise<Publication> {
  const recordId = uuidv7()
  const { kind, name, value, base, author = '', timeoutMs = PUBLISH_TIMEOUT_MS } = options
  const deadline = Date.now() + timeoutMs
  const configuration = await readCompleteConfiguration(client, deadline)
  if (!configuration)
    return { outcome: PublishOutcome.Unreachable, recordId }
  const change: ChangeRecord = {
    record: RecordKind.Change,
    id: recordId,
    kind,
    name,
    base: base ?? configuration.baseOffset(kind, name),
    value,
    author,
  }
  if (!await append(client, change, deadline))
    return { outcome: PublishOutcome.Unreachable, recordId }
  return await readBack(client, recordId, deadline)
}

/**
 * Reads the complete configuration. After an outage longer than its retention, the
 * log holds no checkpoint until an entry appends the next one. It is waited for
 * until the deadline, because a change based on a partial configuration would
 * conflict.
 */
async function readCompleteConfiguration(client: LogClient, deadline: number): Promise<Configuration | undefined> {
  for (;;) {
    const page = await readPage(client)
    if (!page)
      return undefined
    const configuration = new Configuration()
    foldPage(configuration, page)
    if (!hasGap(configuration, page))
      return configuration
    if (Date.now() >= deadline)
      return undefined
    await wait(RETRY_MS)
  }
}

async function readPage(client: LogClient): Promise<LogPage | undefined> {
  const page = await readConfigurationStream(client, 0)
  if (page.isOk())
    return page.value
  log('log-unreadable', { error: formatError(page.error) })
  return undefined
}

/** Appends a record and retries only while it is provably not on the log; returns whether it may have been appended. */
async function append(client: LogClient, change: ChangeRecord, deadline: number): Promise<boolean> {
  while (Date.now() < deadline) {
    const appended = await client.append(CONFIGURATION_STREAM, [change])
    if (appended.isOk() || appended.error.failure === CallFailure.InDoubt)
      return true
    log('append-refused', { record: change.id, error: formatError(appended.error) })
    await wait(RETRY_MS)
  }
  return false
}

async function readBack(client: LogClient, recordId: string, deadline: number): Promise<Publication> {
  while (Date.now() < deadline) {
    const found = await findPublication(client, recordId)
    if (found)
      return found
    await wait(RETRY_MS)
  }
  return { outcome: PublishOutcome.Unknown, recordId }
}

/** Finds a record on the log and determines its outcome; undefined if that is not possible yet. */
async function findPublication(client: LogClient, recordId: string): Promise<Publication | undefined> {
  const page = await readPage(client)
  const index = page?.records.findIndex(({ value }) => findChange(value, recordId)) ?? -1
  if (!page || index < 0)
    return undefined
  const { offset, value } = page.records[index]
  const before = new Configuration()
  foldPage(before, { ...page, records: page.records.slice(0, index) })
  const isAccepted = hasGap(before, page)
    ? isInCheckpoint(page.records.slice(index), offset, findChange(value, recordId)!)
    : before.fold(offset, value) === FoldOutcome.Accepted
  if (isAccepted === undefined)
    return undefined
  return { outcome: isAccepted ? PublishOutcome.Accepted : PublishOutcome.Conflict, recordId, offset }
}

/**
 * Whether a change is active in the first checkpoint that includes its offset, for
 * use when the records before the change have been dropped. Undefined if there is
 * no such checkpoint, or if a later change of the same object hides the result.
 */
function isInCheckpoint(records: readonly LogRecord[], offset: number, change: ChangeRecord): boolean | undefined {
  const checkpoint = records.map(record => parseRecord(record.value))
    .find(record => record?.record === RecordKind.Checkpoint && record.upTo >= offset) as CheckpointRecord | undefined
  if (!checkpoint)
    return undefined
  const activeOffset = checkpoint.objects.find(({ kind, name }) => kind === change.kind && name === change.name)?.offset ?? NO_OFFSET
  return activeOffset > offset ? undefined : activeOffset === offset
}

/** Parses a raw log record; undefined unless it is the change with this id. */
function findChange(value: unknown, recordId: string): ChangeRecord | undefined {
  const parsed = parseRecord(value)
  return parsed?.record === RecordKind.Change && parsed.id === recordId ? parsed : undefined
}
