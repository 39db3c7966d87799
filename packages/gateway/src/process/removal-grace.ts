/**
 * Decides how long a backend server stays in use after its entry was removed
 * from the platform's list.
 *
 * Inputs: the last outage of the list's source: its duration, the earliest
 * possible time of recovery, whether recent writes were lost, and for how long
 * after recovery a backend server that has left may still get work (ms, known
 * when the source responds again). For a removal reported by a peer: for how long
 * the peer keeps using the backend server (ms), and whether this process's own
 * source is unavailable.
 * Rule: no grace period after an outage too short for entries to expire, unless
 * the list was restored from an older snapshot, which lacks recent writes.
 * Otherwise until REMOVAL_GRACE_MS after the source responded again, but no
 * longer than the platform allows, counted from the earliest possible recovery.
 * For a removal reported by a peer: as long as the peer. If the peer grants none
 * and this process's own source is unavailable, the peer's may have been so too
 * without it noticing: then PEER_REMOVAL_GRACE_MS.
 * Why: backend servers renew their entries and cannot do so while the list is
 * unavailable, so a missing entry does not imply that its backend server has
 * ended. Without a grace period all of them would be removed at once. A grace
 * period after every failure, or one counted from the moment at which the
 * recovery is detected, sends work to backend servers that have left.
 * Log events: `backend-lapsed`, `backend-removed`.
 */
import type { SourceOutage } from './platform-adapter.js'

/**
 * Entries are renewed within two seconds of the list's recovery, and a backend
 * server that leaves keeps serving for at least as long.
 */
const REMOVAL_GRACE_MS = 1900

/**
 * A shorter outage cannot make an entry expire: entries are renewed about once
 * per second and may miss two renewals. Removals after longer ones get a grace
 * period, since entries may have expired.
 */
const MIN_EXPIRY_OUTAGE_MS = 500

/**
 * Together with the 0.4 s that a peer's update takes to arrive, it ends within
 * the two seconds allowed to a connected gateway. Meanwhile backend servers whose
 * entries expired for all gateways stay in use, but requests also go to those
 * that have left.
 */
const PEER_REMOVAL_GRACE_MS = 1500

/** A removed entry as reported by a peer. */
export interface PeerRemoval {
  /** Milliseconds for which the peer keeps using the backend server; undefined if it does not. */
  peerGraceMs: number | undefined
  /** This process's own source of the list does not respond. */
  isSourceUnavailable: boolean
}

/** Grace period in milliseconds for a backend server whose removal was reported by a peer; 0 for none. */
export function decidePeerRemovalGrace({ peerGraceMs, isSourceUnavailable }: PeerRemoval): number {
  return peerGraceMs ?? (isSourceUnavailable ? PEER_REMOVAL_GRACE_MS : 0)
}

/** Grace period in milliseconds after the end of an outage for entries removed during it; 0 for none. */
export function decideRemovalGrace(outage: SourceOutage): number {
  if (outage.lastedMs < MIN_EXPIRY_OUTAGE_MS && !outage.lostWrites)
    return 0
  return Math.max(0, Math.min(REMOVAL_GRACE_MS, outage.usableAfterReturnMs - outage.mayHaveReturnedMs))
}
