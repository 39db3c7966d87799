/**
 * Decides when this process fetches what a peer holds: its configuration or
 * its list of backend servers.
 *
 * Inputs: the revision that a peer tells with each heartbeat (at most one
 * heartbeat old) and this process's own, as of now.
 * Rule: a higher one is fetched from that peer if this process has still not
 * caught up after a time in which its own read should have brought it; one
 * fetch at a time. One that fails is tried again with the next heartbeat.
 * Why: a process whose own read was lost does not know it for seconds, while
 * its peers know what it lacks. Without the wait
 * every change would be fetched by those that are some milliseconds behind.
 * Log events: `configuration` and `backend-list` with the peer as their source;
 * `peer-configuration-failed`, `peer-backends-failed`.
 */
import type { Member } from '../connection/peers/member.js'
import { wait } from '@eidermast/common'

/** One kind of state that peers hold too. */
export interface SharedState {
  /** Milliseconds in which this process's own read may bring what a peer has. */
  patienceMs: number
  /** Revision held here. */
  revision: () => number
  /** Takes the state from a peer. */
  fetch: (member: Member) => Promise<void>
  /** A fetch failed. */
  failed: (member: Member, error: unknown) => void
}

/** Catches up with peers in one kind of state. It owns no state but that a fetch is under way. */
export class PeerFetch {
  private fetching = false

  constructor(private readonly state: SharedState) {}

  /** A peer holds this revision; undefined where its release does not tell. */
  async learn(member: Member, revision = 0): Promise<void> {
    if (this.fetching || !this.isBehind(revision))
      return
    this.fetching = true
    await this.catchUp(member, revision)
    this.fetching = false
  }

  private async catchUp(member: Member, revision: number): Promise<void> {
    if (this.state.patienceMs > 0)
      await wait(this.state.patienceMs)
    if (!this.isBehind(revision))
      return
    try {
      await this.state.fetch(member)
    }
    catch (error) {
      this.state.failed(member, error)
    }
  }

  private isBehind(revision: number): boolean {
    return revision > this.state.revision()
  }
}
