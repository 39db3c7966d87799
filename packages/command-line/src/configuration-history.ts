/**
 * The history of the configuration: the outcome of applying each record that
 * the log still retains. Stateless.
 */
import type { LogPage } from '@eidermast/daemon'
import { Configuration, hasGap, parseRecord, RecordKind } from '@eidermast/daemon'

/** A record in the configuration history. */
export interface HistoryLine {
  offset: number
  /** Epoch milliseconds. */
  time: number
  /** Kind of the changed object, or of the record; `-` if the record cannot be parsed. */
  kind: string
  /** Name of the changed object; `-` for other records. */
  name: string
  author: string
  /** Outcome of applying the record. */
  outcome: string
}

/** Applies the records of a page, starting from the oldest one that the log retains. */
export function foldHistory(page: LogPage): HistoryLine[] {
  const replay = new Configuration()
  if (hasGap(replay, page))
    adoptOldestCheckpoint(replay, page)
  return page.records.map(record => foldRecord(replay, record))
}

function foldRecord(replay: Configuration, { offset, time, value }: LogPage['records'][number]): HistoryLine {
  const parsed = parseRecord(value)
  const outcome = replay.fold(offset, value)
  if (parsed?.record !== RecordKind.Change)
    return { offset, time, kind: parsed?.record ?? '-', name: '-', author: '', outcome }
  return { offset, time, kind: parsed.kind, name: parsed.name, author: parsed.author, outcome }
}

/** Starts the replay at the oldest checkpoint; records that the checkpoint covers are reported as repeated. */
function adoptOldestCheckpoint(configuration: Configuration, page: LogPage): void {
  for (const record of page.records) {
    const parsed = parseRecord(record.value)
    if (parsed?.record === RecordKind.Checkpoint)
      return configuration.applyCheckpoint(parsed)
  }
}
