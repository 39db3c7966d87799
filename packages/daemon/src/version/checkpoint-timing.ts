/**
 * Decides whether an entry appends a checkpoint of the configuration to the log,
 * so that processes that start later can still read the complete configuration.
 *
 * Inputs: the times of the newest checkpoint and of the oldest retained record
 * (epoch milliseconds, log clock); whether the log still retains its first record;
 * whether this entry has folded all records of the log, as of a read just made;
 * the log's retention in milliseconds.
 *
 * A checkpoint is due when the newest one is older than DUE_FRACTION of the
 * retention. A log without a checkpoint that still retains its first record needs
 * none until that record has reached the same age.
 *
 * Any entry may append a checkpoint, so no coordinator is needed; duplicate
 * checkpoints of the same offset are harmless, and the random delay between checks
 * makes them rare. The entry must be up to date because its checkpoint would
 * otherwise lack records that the log already holds.
 *
 * Log event: `checkpoint` (upTo, result).
 */

/**
 * Fraction of the retention after which a checkpoint is due. The rest of the
 * retention remains to append one before the log drops records, at the cost of
 * more frequent checkpoints.
 */
const DUE_FRACTION = 0.5
/** Average number of checks per due time. With the longest jitter, three still follow the due time before records are dropped. */
const CHECKS_PER_DUE_TIME = 5
/** Lowest jitter factor of the delay between checks; the highest is one more. Keeps entries from checking at the same time; the exact spread is not critical. */
const MIN_JITTER = 0.5

/** Age at which a checkpoint is due. */
function checkpointDueMs(retentionMs: number): number {
  return retentionMs * DUE_FRACTION
}

/** Delay before the next check, in milliseconds; `random` is in [0, 1). */
export function nextCheckMs(retentionMs: number, random: number): number {
  return (checkpointDueMs(retentionMs) / CHECKS_PER_DUE_TIME) * (MIN_JITTER + random)
}

/** State of the log after reading all of it. */
export interface CheckpointInputs {
  /** Whether the configuration includes all records of the log. */
  upToDate: boolean
  /** Epoch milliseconds; undefined if the log retains no checkpoint. */
  newestCheckpointAt: number | undefined
  /** Epoch milliseconds; undefined if the log retains no record. */
  oldestRecordAt: number | undefined
  /** Whether the log still retains its first record. */
  keepsFirstRecord: boolean
  retentionMs: number
  /** Epoch milliseconds. */
  now: number
}

export function isCheckpointDue(inputs: CheckpointInputs): boolean {
  if (!inputs.upToDate)
    return false
  const isRecent = (time: number): boolean => inputs.now - time < checkpointDueMs(inputs.retentionMs)
  if (inputs.newestCheckpointAt !== undefined)
    return !isRecent(inputs.newestCheckpointAt)
  return !(inputs.oldestRecordAt !== undefined && inputs.keepsFirstRecord && isRecent(inputs.oldestRecordAt))
}
