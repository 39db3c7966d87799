/**
 * Decides when this process fetches a peer's state: its configuration or its
 * list of backend servers.
 *
 * Inputs: the revision that a peer sends with each heartbeat (at most one
 * heartbeat old), this process's own, and the fetches under way with the time
 * since each began (ms), as of now.
 * Rule: a higher revision is fetched from that peer if this process is still
 * behind after the time in which its own read should have delivered it. Another
 * peer is asked too if the fetches under way have not been answered for
 * ANSWER_MS; a failed fetch is retried on the next heartbeat.
 * Why: a process whose own read was lost does not notice for seconds, while its
 * peers have what it lacks. Without the delay, processes that are a few
 * milliseconds behind would fetch every change. A peer that answers heartbeats
 * and no fetch, or stops between the two, must not keep the others from being
 * asked.
 * Log events: `configuration` and `backend-list` with the peer as their source;
 * `peer-configuration-failed`, `peer-backends-failed`.
 */
import type { Member } from '../connection/peers/member.js'
import { wait } from '@eidermast/common'

/** Usual answers take a fraction of this, also those of busy peers; well below the time in which a change must be in force. */
const ANSWER_MS = 300

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

/** Catches up with peers in one kind of state. Stateless except for the fetches in flight. */
export class PeerFetch {
  /** When each fetch under way began, by the address of its peer; on the monotonic clock in milliseconds. */
  private readonly startedAt = new Map<string, number>()

  constructor(private readonly state: ReplicatedState) {}

  /** Handles the revision held by a peer; undefined if the peer's release does not send one. */
  async handlePeerRevision(member: Member, revision = 0): Promise<void> {
    if (!this.isBehind(revision) || !this.mayAsk(member))
      return
    this.startedAt.set(member.address, performance.now())
    await this.catchUp(member, revision)
    this.startedAt.delete(member.address)
  }

  private mayAsk({ address }: Member): boolean {
    const answerBy = Math.max(...this.startedAt.values()) + this.state.fetchDelayMs + ANSWER_MS
    return !this.startedAt.has(address) && performance.now() >= answerBy
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
