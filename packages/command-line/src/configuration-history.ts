/**
 * The history of the configuration: what folding made of each record that the
 * log still holds. It keeps no state.
 */
import type { LogPage } from '@eidermast/daemon'
import { Configuration, hasGap, parseRecord, RecordKind } from '@eidermast/daemon'

/** One record of the configuration's history. */
export interface HistoryLine {
  offset: number
  /** Epoch milliseconds. */
  time: number
  /** Kind of the changed object, or of the record; `-` where it cannot be read. */
  kind: string
  /** Name of the changed object; `-` for other records. */
  name: string
  author: string
  /** What folding made of the record. */
  outcome: string
}

/** Folds the records of a page from the log's first record that is still there. */
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

/** Begins a replay at the oldest checkpoint; records that it covers count as repeated. */
function adoptOldestCheckpoint(configuration: Configuration, page: LogPage): void {
  for (const record of page.records) {
    const parsed = parseRecord(record.value)
    if (parsed?.record === RecordKind.Checkpoint)
      return configuration.applyCheckpoint(parsed)
  }
}
