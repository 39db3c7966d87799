/**
 * Tracks which members are alive: sends the heartbeats that are due, handles the
 * replies, and detects failed members. The rules are in `failure-detection.ts`,
 * `heartbeat-targets.ts`, `peer-discovery.ts` and `slowness.ts`.
 *
 * Owns the state of this process's own pauses and of the peer discovery, in
 * memory; the member states belong to `Members`.
 */
import type { Member } from '../../connection/peers/member.js'
import type { HeartbeatReply } from '../../connection/peers/peer-messages.js'
import type { GatewayLog } from '../gateway-log.js'
import type { FailureWatch } from './failure-watches.js'
import type { MemberState } from './member-state.js'
import { CpuMeter } from './cpu-meter.js'
import { hasFailed, HEARTBEAT_INTERVAL_MS, ownPauseMs } from './failure-detection.js'
import { FailureWatches } from './failure-watches.js'
import { isHeartbeatDue, selectMonitored } from './heartbeat-targets.js'
import { PeerDiscovery } from './peer-discovery.js'
import { SlownessDetector } from './slowness.js'

/** Sends heartbeats to other gateways; rejects if no reply arrives. */
export interface PeerContact {
  heartbeat: (member: Member) => Promise<HeartbeatReply>
}

/** Read access to the current members. */
export interface MemberView {
  states: () => Iterable<MemberState>
  /** Ranked as coordinator candidates. */
  ranked: () => readonly MemberState[]
  /** For each shard, its ranked candidates. */
  candidates: () => readonly (readonly MemberState[])[]
  self: () => MemberState | undefined
}

/** What the monitor works with. */
export interface PeerMonitorDependencies {
  members: MemberView
  contact: PeerContact
  /** Cores that this process may use; undefined if the settings do not say. */
  coreShare: number | undefined
  log: GatewayLog
  /** Called when a peer reports an announcement order other than the known one. */
  onOrderChange: (state: MemberState, announcementOrder: number) => void
  /** Called when a peer answers a heartbeat. */
  onReply: (member: Member, reply: HeartbeatReply) => void
  /** Called when the state of a member may have changed. */
  onChange: () => void
}

/** Monitors the other members. */
export class PeerMonitor {
  private readonly failureWatches = new FailureWatches()
  private readonly discovery = new PeerDiscovery()
  private readonly slownessDetector: SlownessDetector
  private readonly cpuMeter = new CpuMeter()
  private lastTickAt = performance.now()
  /** Counts the restarts of the discovery, to ignore replies to heartbeats of an earlier round. */
  private discoveryRound = 0

  constructor(private readonly deps: PeerMonitorDependencies) {
    this.slownessDetector = new SlownessDetector(deps.coreShare)
  }

  /**
   * Starts the discovery when the process begins to send heartbeats. `now` is on
   * the monotonic clock, in milliseconds.
   */
  start(now: number): void {
    this.discovery.start(now)
  }

  /** Records a read of the directory. `now` is on the monotonic clock, in milliseconds. */
  noteDirectoryRead(now: number): void {
    this.discovery.noteDirectoryRead(now)
  }

  /** Resolves when enough peers have answered for this process to know the coordinator. */
  whenPeersDiscovered(): Promise<void> {
    return this.discovery.whenComplete()
  }

  /** Returns a signal that aborts when a member fails, to be released by `dispose`. */
  watchFailure(member: Member): FailureWatch {
    return this.failureWatches.watch(member.name)
  }

  /** Probes all members again, since this process may have been suspended. */
  restartDiscovery(now: number): void {
    this.discoveryRound++
    for (const state of this.deps.members.states()) {
      state.probed = false
      state.heartbeatSentAt = Number.NEGATIVE_INFINITY
    }
    this.discovery.restart(now)
  }

  /** Records that a member has responded to a call; one that counts as failed has to answer a heartbeat first. */
  noteResponse(state: MemberState): void {
    if (state.alive && !state.isSelf)
      state.lastReplyAt = performance.now()
  }

  /** Treats a member as failed until it answers a heartbeat. */
  suspect(state: MemberState): void {
    const now = performance.now()
    this.setAlive(state, false, now)
    state.lastReplyAt = Number.NEGATIVE_INFINITY
  }

  /**
   * Records a tick. Time during which this process was paused does not count as
   * silence of the peers, but its lateness counts towards the slowness of this
   * process.
   */
  recordTick(now: number): void {
    const sinceLastMs = now - this.lastTickAt
    this.lastTickAt = now
    const usedCoreShare = this.cpuMeter.takeCoreShare(sinceLastMs)
    const lateMs = sinceLastMs - HEARTBEAT_INTERVAL_MS
    this.setSelfSlow(this.slownessDetector.recordTick({ lateMs, usedCoreShare }, now), usedCoreShare)
    const pausedMs = ownPauseMs(sinceLastMs)
    for (const state of this.deps.members.states())
      state.lastReplyAt += pausedMs
  }

  /** Detects failed members and sends the heartbeats that are due. */
  checkMembers(now: number): void {
    const { members } = this.deps
    const monitored = selectMonitored(members.ranked(), members.candidates(), now)
    for (const [state, intervalMs] of monitored) {
      this.setAlive(state, !hasFailed(now - state.lastReplyAt, intervalMs), now)
      if (isHeartbeatDue(state, intervalMs, now))
        void this.sendHeartbeat(state, now)
    }
    this.discovery.update({ probed: [...monitored.keys()].map(state => state.probed), now })
  }

  private setSelfSlow(slow: boolean, usedCoreShare: number): void {
    const state = this.deps.members.self()
    if (!state || state.slow === slow)
      return
    state.slow = slow
    this.deps.log.slownessChanged(slow, this.slownessDetector.meanLatenessMs, usedCoreShare)
  }

  private async sendHeartbeat(state: MemberState, now: number): Promise<void> {
    const { discoveryRound } = this
    state.pendingHeartbeats++
    state.heartbeatSentAt = now
    try {
      const reply = await this.deps.contact.heartbeat(state.member)
      state.answeredSentAt = Math.max(state.answeredSentAt, now)
      this.handleReply(state, reply)
    }
    catch {
      // A single lost heartbeat is harmless: `lastReplyAt` stays, from which the next tick detects a failure.
      this.handleLostHeartbeat(state, now)
    }
    state.pendingHeartbeats--
    // A reply to a heartbeat of an earlier round may have been waiting while this process was suspended.
    state.probed ||= discoveryRound === this.discoveryRound
    this.deps.onChange()
    if (!this.discovery.isComplete)
      this.checkMembers(performance.now())
  }

  /** A heartbeat was not answered. If a later one was, its connection is lost, and those of earlier calls may be too. */
  private handleLostHeartbeat({ member, answeredSentAt }: MemberState, sentAt: number): void {
    if (answeredSentAt <= sentAt)
      return
    this.deps.log.peerConnectionLost(member, performance.now() - sentAt)
    this.failureWatches.abortBefore(member.name, sentAt)
  }

  private handleReply(state: MemberState, reply: HeartbeatReply): void {
    state.lastReplyAt = performance.now()
    state.stopping = reply.stopping
    state.slow = reply.slow
    if (reply.announcementOrder !== undefined && reply.announcementOrder !== state.announcementOrder)
      this.deps.onOrderChange(state, reply.announcementOrder)
    this.setAlive(state, true, state.lastReplyAt)
    this.deps.onReply(state.member, reply)
  }

  private setAlive(state: MemberState, alive: boolean, now: number): void {
    if (state.alive === alive)
      return
    state.alive = alive
    if (alive)
      return this.deps.log.memberRecovered(state.member)
    this.deps.log.memberFailed(state.member, now - state.lastReplyAt, state.pendingHeartbeats)
    this.failureWatches.abort(state.member.name)
  }
}
