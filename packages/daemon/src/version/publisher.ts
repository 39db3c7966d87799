/**
 * Publishes one change of the configuration and finds out what became of it by
 * reading its own record back. Of two operators who change the same version of
 * an object, the first in the log's order succeeds and the second gets a
 * conflict. Keeps no state: an operator who loses the answer finds the record
 * with `eidermast config history`.
 */
import type { LogClient } from './log.js'
import type { ObjectKind } from './objects.js'
import type { ChangeRecord } from './record.js'
import { createLogger, formatError, wait } from '@eidermast/common'
import { v7 as uuidv7 } from 'uuid'
import { CallFailure } from './call-error.js'
import { Configuration, FoldOutcome, parseRecord } from './configuration.js'
import { foldPage, hasGap } from './fold-page.js'
import { readConfigurationStream } from './read-stream.js'
import { CONFIGURATION_STREAM, RecordKind } from './record.js'

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

/** Milliseconds. Not measured: half may report an append as unknown at a loaded log, twice keeps an operator waiting. */
const PUBLISH_TIMEOUT_MS = 5000
/** Milliseconds between tries. Not measured: half doubles the load on a log that is out, twice delays the answer. */
const RETRY_MS = 100

/** Reads the whole configuration from the log; undefined where the log does not answer. */
export async function readConfiguration(client: LogClient): Promise<Configuration | undefined> {
  const page = await readConfigurationStream(client, 0)
  if (page.isErr()) {
    log('log-unreadable', { error: formatError(page.error) })
    return undefined
  }
  const configuration = new Configuration()
  foldPage(configuration, page.value)
  return configuration
}

/** Publishes a change and waits for its outcome. */
export async function publishChange(client: LogClient, options: PublishOptions): Promise<Publication> {
  const recordId = uuidv7()
  const configuration = await readConfiguration(client)
  if (!configuration)
    return { outcome: PublishOutcome.Unreachable, recordId }
  const { kind, name, value, base, author = '', timeoutMs = PUBLISH_TIMEOUT_MS } = options
  const change: ChangeRecord = {
    record: RecordKind.Change,
    id: recordId,
    kind,
    name,
    base: base ?? configuration.baseOffset(kind, name),
    value,
    author,
  }
  const deadline = Date.now() + timeoutMs
  if (!await append(client, change, deadline))
    return { outcome: PublishOutcome.Unreachable, recordId }
  return await readBack(client, recordId, deadline)
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
  const page = await readConfigurationStream(client, 0)
  if (page.isErr()) {
    log('log-unreadable', { error: formatError(page.error) })
    return undefined
  }
  const { records } = page.value
  const index = records.findIndex(({ value }) => isChange(value, recordId))
  if (index < 0)
    return undefined
  const { offset, value } = records[index]
  const before = new Configuration()
  foldPage(before, { ...page.value, records: records.slice(0, index) })
  if (hasGap(before, page.value))
    return undefined
  const accepted = before.fold(offset, value) === FoldOutcome.Accepted
  return { outcome: accepted ? PublishOutcome.Accepted : PublishOutcome.Conflict, recordId, offset }
}

function isChange(value: unknown, recordId: string): boolean {
  const parsed = parseRecord(value)
  return parsed?.record === RecordKind.Change && parsed.id === recordId
}
