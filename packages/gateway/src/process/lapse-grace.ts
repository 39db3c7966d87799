/**
 * Decides how long a backend server is used on after its entry has gone from
 * the platform's list.
 *
 * Inputs: the last outage of the list's source: how long it lasted, when the
 * source may have returned, whether it lost what was written last, for how long
 * after the return a backend server that has
 * left may still get work (ms, known when the source answers again).
 * Where a peer tells that an entry has gone: for how long the peer uses it on
 * (ms), whether this process's own source is away.
 * Rule: not at all after an outage in which no entry can have lapsed, unless the
 * list came back from an older copy, which lacks what was written last. Else
 * until LAPSE_GRACE_MS after the source answered again, but no longer than the
 * platform allows, counted from the earliest moment at which the source may
 * have returned. By a peer's word: as long as the peer does. Where the peer does
 * not use it on and this process's own source is away, the peer's may have been
 * too, without its notice: then for PEER_LAPSE_GRACE_MS.
 * Why: backend servers renew their entries, and cannot while the list is away:
 * an entry that is gone then need not mean that its backend server is. Without
 * this rule all would be dropped at once. Waiting after
 * every failure, or from the moment at which the return is noticed, sends work
 * to backend servers that have left.
 * Log events: `backend-lapsed`, `backend-removed`.
 */
import type { SourceOutage } from './platform-adapter.js'

/**
 * Milliseconds. Entries are renewed within two seconds of the list's return,
 * and a backend server that leaves serves on for at least as long.
 */
const LAPSE_GRACE_MS = 1900

/**
 * Milliseconds. An outage that was shorter cannot have hidden the renewal of an
 * entry, which comes about every second and may miss twice. Twice as much drops
 * backend servers whose entries lapsed in a short outage.
 */
const MIN_LAPSE_OUTAGE_MS = 500

/**
 * Milliseconds. With the 0.4 s in which a peer's word comes here it ends within
 * the two seconds that a gateway in touch has. Half drops backend servers whose
 * entries lapsed for all, twice sends to those that have left.
 */
const PEER_LAPSE_GRACE_MS = 1500

/** What a peer told of an entry that has gone. */
export interface PeerLapse {
  /** Milliseconds for which the peer uses the backend server on; undefined where it does not. */
  usedByPeerMs: number | undefined
  /** This process's own source of the list does not answer. */
  isSourceAway: boolean
}

/** For how long a backend server is used on whose entry has gone by a peer's word, in milliseconds; 0 for not at all. */
export function decidePeerLapseGrace({ usedByPeerMs, isSourceAway }: PeerLapse): number {
  return usedByPeerMs ?? (isSourceAway ? PEER_LAPSE_GRACE_MS : 0)
}

/** For how long entries that go are used on after an outage, in milliseconds from its end; 0 for not at all. */
export function decideLapseGrace(outage: SourceOutage): number {
  if (outage.lastedMs < MIN_LAPSE_OUTAGE_MS && !outage.lostWrites)
    return 0
  return Math.max(0, Math.min(LAPSE_GRACE_MS, outage.usableAfterReturnMs - outage.mayHaveReturnedMs))
}
