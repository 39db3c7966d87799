/**
 * Decides whether this gateway may rely on its peers for changes that its own
 * reads of the platform's store miss.
 *
 * Inputs: whether this process is the overall coordinator (as of now); whether
 * the coordinator reports that its source does not respond (at most a heartbeat
 * old).
 * Rule: it may, unless it is the coordinator itself or the coordinator cannot
 * read. When that ends, pending reads are repeated at once.
 * Why: a read sent while peers could be relied on may be held for longer than a
 * change may take, and one that was lost is noticed only then. When all reads
 * were lost and the coordinator ended, the others had a change 4.4 s after it.
 * Log event: none; `stage-coordinator` shows the coordinator, `store-failed` the
 * length of a lost read.
 */
import type { PeerView } from './platform-adapter.js'

/** What the decision depends on. */
export interface PeerUpdateSources {
  /** Number of listed gateways, including this one. */
  count: () => number
  isCoordinator: () => boolean
  /** Whether the coordinator reports that its source does not respond. */
  isCoordinatorUnavailable: () => boolean
}

/** Tracks whether peers pass changes on. */
export class PeerUpdates implements PeerView {
  private receivedBefore = false
  private readonly listeners: (() => void)[] = []

  constructor(private readonly sources: PeerUpdateSources) {}

  get count(): number {
    return this.sources.count()
  }

  get receivesPeerUpdates(): boolean {
    return !this.sources.isCoordinator() && !this.sources.isCoordinatorUnavailable()
  }

  get updatesPeers(): boolean {
    return this.sources.isCoordinator()
  }

  onUpdatesEnd(listener: () => void): void {
    this.listeners.push(listener)
  }

  /** To be called when the coordinator, or what it reports, may have changed. */
  update(): void {
    const receives = this.receivesPeerUpdates
    const hasEnded = this.receivedBefore && !receives
    this.receivedBefore = receives
    for (const listener of hasEnded ? this.listeners : [])
      listener()
  }
}
