/**
 * Tracks which gateways have recently sent heartbeats to this one, that is, those
 * for which it coordinates. Keeps the time of the last heartbeat of each in
 * memory.
 */

/** Time for which a peer counts as active after a heartbeat; long enough for several lost heartbeats. */
const ACTIVE_FOR_MS = 1500

/** Counts the gateways that send heartbeats. */
export class ActivePeers {
  private readonly lastHeartbeatAt = new Map<string, number>()

  /** Records a heartbeat from a gateway. */
  note(name: string, now: number): void {
    this.lastHeartbeatAt.set(name, now)
  }

  /** Number of active gateways, without this one. */
  count(now: number): number {
    for (const [name, at] of this.lastHeartbeatAt) {
      if (now - at > ACTIVE_FOR_MS)
        this.lastHeartbeatAt.delete(name)
    }
    return this.lastHeartbeatAt.size
  }
}
