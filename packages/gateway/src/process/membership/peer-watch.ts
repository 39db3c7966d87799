/**
 * Learns which members are alive: sends the heartbeats that are due, takes their
 * answers, and notices members that have failed. The rules are in
 * `failure-detection.ts`, `heartbeat-targets.ts`, `acquaintance.ts` and
 * `slowness.ts`.
 *
 * It owns what it knows of its own pauses and of the first contact with the
 * others, in memory; the states of the members belong to `Members`.
 */
import type { Member } from '../../connection/peers/member.js'
import type { HeartbeatReply } from '../../connection/peers/peer-messages.js'
import type { GatewayLog } from '../gateway-log.js'
import type { FailureWatch } from './failure-watches.js'
import type { MemberState } from './member-state.js'
import { Acquaintance } from './acquaintance.js'
import { hasFailed, HEARTBEAT_INTERVAL_MS, ownPauseMs } from './failure-detection.js'
import { FailureWatches } from './failure-watches.js'
import { isHeartbeatDue, selectWatched } from './heartbeat-targets.js'
import { SlownessWatch } from './slowness.js'

/** Sends heartbeats to other gateways; rejects where no answer came. */
export interface PeerContact {
  heartbeat: (member: Member) => Promise<HeartbeatReply>
}

/** The members as they are listed now. */
export interface MemberView {
  states: () => Iterable<MemberState>
  /** In the order in which they would coordinate. */
  ranked: () => readonly MemberState[]
  /** In that order, for each shard. */
  candidates: () => readonly (readonly MemberState[])[]
  self: () => MemberState | undefined
}

/** What the watch works with. */
export interface PeerWatchParts {
  members: MemberView
  contact: PeerContact
  /** Cores that this process may use; absent where it is not told. */
  coreShare: number | undefined
  log: GatewayLog
  /** A peer told another place of its announcement than is known. */
  orderChanged: (state: MemberState, announcementOrder: number) => void
  /** A peer answered a heartbeat. */
  onReply: (member: Member, reply: HeartbeatReply) => void
  /** What is known of a member may have changed. */
  changed: () => void
}

/** Watches the other members. */
export class PeerWatch {
  private readonly failureWatches = new FailureWatches()
  private readonly acquaintance = new Acquaintance()
  private readonly slowness: SlownessWatch
  private tickedAt = performance.now()
  /** Times that this process may have been away. */
  private meetings = 0

  constructor(private readonly parts: PeerWatchParts) {
    this.slowness = new SlownessWatch(parts.coreShare)
  }

  /** The process begins to send heartbeats; takes milliseconds of the process clock. */
  begin(now: number): void {
    this.acquaintance.begin(now)
  }

  /** The directory was read; takes milliseconds of the process clock. */
  noteListRead(now: number): void {
    this.acquaintance.noteListRead(now)
  }

  /** Resolves when this process has heard enough of the others to know who coordinates, at once where it has. */
  whenAcquainted(): Promise<void> {
    return this.acquaintance.whenOver()
  }

  /** A signal that aborts when a member fails; released by `dispose`. */
  watchFailure(member: Member): FailureWatch {
    return this.failureWatches.watch(member.name)
  }

  /** This process may have been away: all are asked anew. */
  meetAgain(now: number): void {
    this.meetings++
    for (const state of this.parts.members.states()) {
      state.tried = false
      state.heartbeatSentAt = Number.NEGATIVE_INFINITY
    }
    this.acquaintance.beginAgain(now)
  }

  /** It must answer a heartbeat before it is used again. */
  suspect(state: MemberState): void {
    state.lastReplyAt = Number.NEGATIVE_INFINITY
    this.setAlive(state, false)
  }

  /** While this process stood still it heard nobody: that time says nothing about the others, but something about this process. */
  takeOwnTick(now: number): void {
    const sinceLastMs = now - this.tickedAt
    this.tickedAt = now
    this.setSelfSlow(this.slowness.takeTick(sinceLastMs - HEARTBEAT_INTERVAL_MS, now))
    const pausedMs = ownPauseMs(sinceLastMs)
    for (const state of this.parts.members.states())
      state.lastReplyAt += pausedMs
  }

  /** Notices members that have failed, and sends the heartbeats that are due. */
  look(now: number): void {
    const { members } = this.parts
    const watched = selectWatched(members.ranked(), members.candidates(), now)
    for (const [state, intervalMs] of watched) {
      this.setAlive(state, !hasFailed(now - state.lastReplyAt, intervalMs))
      if (isHeartbeatDue(state, intervalMs, now))
        void this.sendHeartbeat(state, now)
    }
    this.acquaintance.look({ tried: [...watched.keys()].map(state => state.tried), now })
  }

  private setSelfSlow(slow: boolean): void {
    const state = this.parts.members.self()
    if (!state || state.slow === slow)
      return
    state.slow = slow
    this.parts.log.slownessChanged(slow, this.slowness.meanLatenessMs)
  }

  private async sendHeartbeat(state: MemberState, now: number): Promise<void> {
    const { meetings } = this
    state.pendingHeartbeats++
    state.heartbeatSentAt = now
    try {
      this.takeReply(state, await this.parts.contact.heartbeat(state.member))
    }
    catch {
      // Harmless: a single heartbeat decides nothing; `lastReplyAt` stays, and from it the next tick logs a failure.
    }
    state.pendingHeartbeats--
    // An answer may have lain here while this process was away.
    state.tried ||= meetings === this.meetings
    this.parts.changed()
    if (!this.acquaintance.isOver)
      this.look(performance.now())
  }

  private takeReply(state: MemberState, reply: HeartbeatReply): void {
    state.lastReplyAt = performance.now()
    state.stopping = reply.stopping
    state.slow = reply.slow
    if (reply.announcementOrder !== undefined && reply.announcementOrder !== state.announcementOrder)
      this.parts.orderChanged(state, reply.announcementOrder)
    this.setAlive(state, true)
    this.parts.onReply(state.member, reply)
  }

  private setAlive(state: MemberState, alive: boolean): void {
    if (state.alive === alive)
      return
    state.alive = alive
    if (alive)
      return this.parts.log.memberRecovered(state.member)
    this.parts.log.memberFailed(state.member)
    this.failureWatches.abort(state.member.name)
  }
}
