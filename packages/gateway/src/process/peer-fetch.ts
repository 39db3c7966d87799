/**
 * Decides when this process fetches a peer's state: its configuration or its
 * list of backend servers.
 *
 * Inputs: the revision that a peer sends with each heartbeat (at most one
 * heartbeat old) and this process's own, as of now.
 * Rule: a higher revision is fetched from that peer if this process is still
 * behind after the time in which its own read should have delivered it. One fetch
 * at a time; a failed fetch is retried on the next heartbeat.
 * Why: a process whose own read was lost does not notice for seconds, while its
 * peers have what it lacks. Without the delay, processes that are a few
 * milliseconds behind would fetch every change.
 * Log events: `configuration` and `backend-list` with the peer as their source;
 * `peer-configuration-failed`, `peer-backends-failed`.
 */
import type { Member } from '../connection/peers/member.js'
import { wait } from '@eidermast/common'

/** One kind of state that is replicated between peers. */
export interface ReplicatedState {
  /** Milliseconds to wait for this process's own read before fetching. */
  fetchDelayMs: number
  /** Revision held by this process. */
  revision: () => number
  /** Fetches the state from a peer and applies it. */
  fetch: (member: Member) => Promise<void>
  /** Called when a fetch fails. */
  failed: (member: Member, error: unknown) => void
}

/** Catches up with peers in one kind of state. Stateless except for the fetch in flight. */
export class PeerFetch {
  private fetching = false

  constructor(private readonly state: ReplicatedState) {}

  /** Handles the revision held by a peer; undefined if the peer's release does not send one. */
  async handlePeerRevision(member: Member, revision = 0): Promise<void> {
    if (this.fetching || !this.isBehind(revision))
      return
    this.fetching = true
    await this.catchUp(member, revision)
    this.fetching = false
  }

  private async catchUp(member: Member, revision: number): Promise<void> {
    if (this.state.fetchDelayMs > 0)
      await wait(this.state.fetchDelayMs)
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
