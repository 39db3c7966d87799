/**
 * Publishes one change of the configuration and finds out what became of it by
 * reading its own record back. Of two operators who change the same version of
 * an object, the first in the log's order succeeds and the second gets a
 * conflict. Keeps no state: an operator who loses the answer finds the record
 * with `eidermast config history`.
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

/** What became of a published change. */
export enum PublishOutcome {
  /** In force at the given offset. */
  Accepted = 'accepted',
  /** Another change came first. */
  Conflict = 'conflict',
  /** The log did not answer after the change may have been appended. */
  Unknown = 'unknown',
  /** The log took nothing. */
  Unreachable = 'unreachable',
}

/** The answer to a publication. */
export interface Publication {
  outcome: PublishOutcome
  recordId: string
  /** Offset of the record, where it is known. */
  offset?: number
}

/** A change to publish. */
export interface PublishOptions {
  kind: ObjectKind
  name: string
  /** The new value, or null to delete the object. */
  value: unknown
  /** Offset of the version that the change was based on; read from the log where absent. */
  base?: number
  author?: string
  /**
   * Milliseconds after which the outcome is reported as unknown.
   * @default 5000
   */
  timeoutMs?: number
}

/** Milliseconds. Half may report an append as unknown at a loaded log, twice keeps an operator waiting. */
const PUBLISH_TIMEOUT_MS = 5000
/** Milliseconds between tries. Half doubles the load on a log that is out, twice delays the answer. */
const RETRY_MS = 100

/**
 * Reads the whole configuration from the log; undefined where the log does not
 * answer, or has dropped records that no checkpoint on it holds.
 */
export function readConfiguration(client: LogClient): Promise<Configuration | undefined> {
  return readWhole(client, Date.now())
}

/** Publishes a change and waits for its outcome. */
export async function publishChange(client: LogClient, options: PublishOptions): Promise<Publication> {
  const recordId = uuidv7()
  const { kind, name, value, base, author = '', timeoutMs = PUBLISH_TIMEOUT_MS } = options
  const deadline = Date.now() + timeoutMs
  const configuration = await readWhole(client, deadline)
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
 * The whole configuration. Right after the log was out for longer than it keeps
 * records it holds no checkpoint: until the deadline an entry's next one is
 * waited for, since a change based on a part of the configuration conflicts.
 */
async function readWhole(client: LogClient, deadline: number): Promise<Configuration | undefined> {
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

/** Appends a record, again only while it is provably not on the log; returns whether it may be there. */
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

/** Looks for a record on the log and for what folding made of it; undefined where the log cannot say so now. */
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
 * Whether the first checkpoint that folded a change has it in force, where the
 * records before the change are dropped; undefined where no checkpoint has
 * folded it, or a later change of the same object hides it.
 */
function isInCheckpoint(records: readonly LogRecord[], offset: number, change: ChangeRecord): boolean | undefined {
  const checkpoint = records.map(record => parseRecord(record.value))
    .find(record => record?.record === RecordKind.Checkpoint && record.upTo >= offset) as CheckpointRecord | undefined
  if (!checkpoint)
    return undefined
  const inForce = checkpoint.objects.find(({ kind, name }) => kind === change.kind && name === change.name)?.offset ?? NO_OFFSET
  return inForce > offset ? undefined : inForce === offset
}

/** The change, where a raw value of the log is the one with this id. */
function findChange(value: unknown, recordId: string): ChangeRecord | undefined {
  const parsed = parseRecord(value)
  return parsed?.record === RecordKind.Change && parsed.id === recordId ? parsed : undefined
}
