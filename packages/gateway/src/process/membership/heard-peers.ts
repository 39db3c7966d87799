/**
 * Which gateways this one has heard from lately: those for which it coordinates
 * send it heartbeats. It owns the time of the last heartbeat of each, in memory.
 */

/** Milliseconds for which a heartbeat counts: some missed ones make nobody unheard. */
const HEARD_FOR_MS = 1500

/** Counts gateways by their heartbeats. */
export class HeardPeers {
  private readonly heardAt = new Map<string, number>()

  /** A heartbeat came from a gateway. */
  note(name: string, now: number): void {
    this.heardAt.set(name, now)
  }

  /** Gateways heard lately; this one is not among them. */
  count(now: number): number {
    for (const [name, at] of this.heardAt) {
      if (now - at > HEARD_FOR_MS)
        this.heardAt.delete(name)
    }
    return this.heardAt.size
  }
}
