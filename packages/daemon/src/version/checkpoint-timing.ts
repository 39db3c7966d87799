/**
 * Decides whether an entry appends a checkpoint of the configuration to the
 * log, so that a process that starts later can still read all of it.
 *
 * Inputs: the time of the newest checkpoint and of the oldest record that the
 * log keeps (epoch milliseconds, of the log's clock), whether the log still
 * keeps its first record, and whether this entry has folded all that the log
 * holds (as of the read just made); the log's retention in milliseconds.
 * Rule: due when the newest checkpoint is older than DUE_SHARE of the
 * retention. A log that still keeps its first record and has no checkpoint
 * needs none before that record is as old.
 * Why any entry may do so: it needs no coordinator; two checkpoints of the
 * same offset do no harm, and a random wait between checks makes them rare.
 * Why only an entry that is up to date: its checkpoint would otherwise lack
 * records that the log already holds.
 * Log event: `checkpoint` (upTo, result).
 */

/**
 * Share of the retention after which a checkpoint is due. A quarter appends
 * twice as many, nearly all of it leaves no time to append before the log drops
 * records.
 */
const DUE_SHARE = 0.5
/** Checks within one due time. Half still leaves time for two before records are dropped. */
const CHECKS_PER_DUE_TIME = 5
/** Factor of the shortest wait between checks; the longest is one more. Any spread of this order does. */
const MIN_JITTER = 0.5

/** Milliseconds after which a checkpoint is due. */
function checkpointDueMs(retentionMs: number): number {
  return retentionMs * DUE_SHARE
}

/** Milliseconds to wait before the next check; `random` is in [0, 1). */
export function nextCheckMs(retentionMs: number, random: number): number {
  return (checkpointDueMs(retentionMs) / CHECKS_PER_DUE_TIME) * (MIN_JITTER + random)
}

/** What a read of the whole log showed. */
export interface CheckpointSigns {
  /** Whether the configuration holds all that the log holds. */
  upToDate: boolean
  /** Epoch milliseconds; undefined where the log keeps none. */
  newestCheckpointAt: number | undefined
  /** Epoch milliseconds; undefined where the log keeps no record. */
  oldestRecordAt: number | undefined
  /** Whether the log still keeps its first record. */
  keepsFirstRecord: boolean
  retentionMs: number
  /** Epoch milliseconds. */
  now: number
}

/** Whether a checkpoint is due. */
export function isCheckpointDue(signs: CheckpointSigns): boolean {
  if (!signs.upToDate)
    return false
  const isRecent = (time: number): boolean => signs.now - time < checkpointDueMs(signs.retentionMs)
  if (signs.newestCheckpointAt !== undefined)
    return !isRecent(signs.newestCheckpointAt)
  return !(signs.oldestRecordAt !== undefined && signs.keepsFirstRecord && isRecent(signs.oldestRecordAt))
}
