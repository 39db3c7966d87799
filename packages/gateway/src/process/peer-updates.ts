/**
 * Decides whether this gateway may rely on its peers for changes that its own
 * reads of the platform's store miss.
 *
 * Inputs: whether this process is the overall coordinator (as of now); whether
 * the coordinator reports that its source does not respond (at most a heartbeat
 * old).
 * Rule: it may, unless it is the coordinator itself or the coordinator cannot
 * read. When this process becomes the coordinator, its reads under way are
 * repeated at once; when the coordinator cannot read, `CoordinatorOutageWatch`
 * restarts them.
 * Why: a read sent while peers could be relied on may be held for longer than a
 * change may take, and one that was lost is noticed only then.
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
  private updatedPeersBefore = true
  private readonly listeners: (() => void)[] = []

  constructor(private readonly sources: PeerUpdateSources) {}

  get count(): number {
    return this.sources.count()
  }

  get receivesPeerUpdates(): boolean {
    return !this.updatesPeers && !this.sources.isCoordinatorUnavailable()
  }

  get updatesPeers(): boolean {
    return this.sources.isCoordinator()
  }

  onUpdatingPeers(listener: () => void): void {
    this.listeners.push(listener)
  }

  /** To be called when the coordinator has changed. A process that starts counts as its own coordinator. */
  handleCoordinatorChange(): void {
    const { updatesPeers } = this
    const hasBegun = updatesPeers && !this.updatedPeersBefore
    this.updatedPeersBefore = updatesPeers
    for (const listener of hasBegun ? this.listeners : [])
      listener()
  }
}
