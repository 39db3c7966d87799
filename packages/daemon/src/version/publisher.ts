/**
 * Publishes one change and finds out what became of it by reading its own
 * record back: the first of two racing operators wins, the second is told.
 */
import type { LogClient } from './log.js'
import type { ObjectKind } from './objects.js'
import type { ChangeRecord } from './record.js'
import { wait } from '@eidermast/common'
import { v7 as uuidv7 } from 'uuid'
import { CallFailure } from './call-error.js'
import { Configuration, FoldOutcome, parseRecord } from './configuration.js'
import { foldPage, hasGap } from './follower.js'
import { CONFIGURATION_STREAM, RecordKind } from './record.js'

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
   * Milliseconds until the outcome is given up as unknown.
   * @default 5000
   */
  timeoutMs?: number
}

const RETRY_MS = 100

/** Reads the whole configuration from the log; undefined where the log does not answer. */
export async function readConfiguration(client: LogClient): Promise<Configuration | undefined> {
  const configuration = new Configuration()
  const page = await client.read({ stream: CONFIGURATION_STREAM, from: 0, limit: Number.MAX_SAFE_INTEGER, waitMs: 0 })
  if (page.isErr())
    return undefined
  foldPage(configuration, page.value)
  return configuration
}

/** Publishes a change and waits for its outcome. */
export async function publishChange(client: LogClient, options: PublishOptions): Promise<Publication> {
  const recordId = uuidv7()
  const configuration = await readConfiguration(client)
  if (!configuration)
    return { outcome: PublishOutcome.Unreachable, recordId }
  const change: ChangeRecord = {
    record: RecordKind.Change,
    id: recordId,
    kind: options.kind,
    name: options.name,
    base: options.base ?? configuration.baseOffset(options.kind, options.name),
    value: options.value,
    author: options.author ?? '',
  }
  return appendAndReadBack(client, change, Date.now() + (options.timeoutMs ?? 5000))
}

/** Appends a record, again only while it is provably not on the log, and reads it back. */
async function appendAndReadBack(client: LogClient, change: ChangeRecord, giveUpAt: number): Promise<Publication> {
  let inDoubt = false
  while (Date.now() < giveUpAt) {
    const appended = await client.append(CONFIGURATION_STREAM, [change])
    if (appended.isOk() || appended.error.failure === CallFailure.InDoubt) {
      inDoubt = true
      break
    }
    await wait(RETRY_MS)
  }
  if (!inDoubt)
    return { outcome: PublishOutcome.Unreachable, recordId: change.id }
  while (Date.now() < giveUpAt) {
    const found = await findOutcome(client, change.id)
    if (found)
      return found
    await wait(RETRY_MS)
  }
  return { outcome: PublishOutcome.Unknown, recordId: change.id }
}

/** Looks for a record on the log and tells what folding made of its first copy. */
export async function findOutcome(client: LogClient, recordId: string): Promise<Publication | undefined> {
  const page = await client.read({ stream: CONFIGURATION_STREAM, from: 0, limit: Number.MAX_SAFE_INTEGER, waitMs: 0 })
  if (page.isErr())
    return undefined
  const index = page.value.records.findIndex((record) => {
    const parsed = parseRecord(record.value)
    return parsed?.record === RecordKind.Change && parsed.id === recordId
  })
  if (index < 0)
    return undefined
  const { offset } = page.value.records[index]
  const before = new Configuration()
  foldPage(before, { ...page.value, records: page.value.records.slice(0, index) })
  if (hasGap(before, page.value))
    return undefined
  const outcome = before.fold(offset, page.value.records[index].value)
  return { outcome: outcome === FoldOutcome.Accepted ? PublishOutcome.Accepted : PublishOutcome.Conflict, recordId, offset }
}
