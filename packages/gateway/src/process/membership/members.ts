/**
 * Which gateways there are, which of them answer, and which one owns the
 * stage work: the one that was announced first of those alive, so that a
 * gateway that comes back takes nothing from the one at work. The list comes
 * from the platform; that a member is alive is learned by direct contact only.
 */
import type { EventLog } from '@eidermast/common'
import type { Member } from '../../connection/member.js'
import type { HeartbeatReply } from '../../connection/peer-messages.js'

/** A gateway as the directory lists it. */
export interface ListedMember extends Member {
  /** Place of its announcement among all: a gateway that starts anew comes last. */
  seniority: number
}

/** Takes what a directory tells. */
export interface MemberSink {
  upsert: (member: ListedMember) => void
  remove: (name: string) => void
}

/** Where gateways announce themselves. */
export interface MemberDirectory {
  /** Announces this gateway, again and again until it is taken. */
  announce: (member: Member, signal: AbortSignal) => Promise<void>
  /** Takes this gateway off the list. */
  withdraw: (member: Member) => Promise<void>
  /** Tells the members as they come and go, until the signal aborts. */
  follow: (sink: MemberSink, signal: AbortSignal) => Promise<void>
}

/** What members ask of each other to know who is alive. */
export interface PeerContact {
  heartbeat: (member: Member) => Promise<HeartbeatReply>
}

const HEARTBEAT_INTERVAL_MS = 150
/** The coordinator and the one that would follow it are sent heartbeats. */
const WATCHED_CANDIDATES = 2
/** A member that has not answered for this long is taken for lost, in milliseconds. */
const LOST_AFTER_MS = 600
/** Heartbeats of one member that may wait for a reply at once: a single one that is lost says nothing. */
const MAX_PENDING_HEARTBEATS = 4
/** A tick this late shows that this process itself stood still, in milliseconds. */
const LATE_TICK_MS = 2 * HEARTBEAT_INTERVAL_MS
/** Lost members are sent heartbeats this often, in milliseconds. */
const LOST_HEARTBEAT_INTERVAL_MS = 500

interface MemberState {
  member: Member
  seniority: number
  heardAt: number
  heartbeatSentAt: number
  pendingHeartbeats: number
  stopping: boolean
  alive: boolean
}

/** Tells when a member is lost. */
export interface LossWatch {
  signal: AbortSignal
  dispose: () => void
}

/** Called with a peer and the version that it holds. */
export type VersionListener = (member: Member, version: number) => void

/** Follows members and says who coordinates the stage work. */
export class Members implements MemberSink {
  private readonly states = new Map<string, MemberState>()
  private ranked: MemberState[] = []
  private currentCoordinator: Member
  private readonly coordinatorListeners: ((coordinator: Member) => void)[] = []
  private readonly lossWatchers = new Map<string, Set<() => void>>()
  private timer: NodeJS.Timeout | undefined
  private tickedAt = performance.now()

  constructor(
    readonly self: Member,
    private readonly contact: PeerContact,
    private readonly log: EventLog,
    private readonly onVersion: VersionListener,
  ) {
    this.currentCoordinator = self
    this.upsert({ ...self, seniority: Number.POSITIVE_INFINITY })
  }

  /** Members listed, this one included. */
  get count(): number {
    return this.states.size
  }

  get coordinator(): Member {
    return this.currentCoordinator
  }

  get isCoordinator(): boolean {
    return this.currentCoordinator.name === this.self.name
  }

  onCoordinatorChange(listener: (coordinator: Member) => void): void {
    this.coordinatorListeners.push(listener)
  }

  /** A signal that aborts when a member is lost; released by `dispose`. */
  watchLoss(member: Member): LossWatch {
    const controller = new AbortController()
    const watch = (): void => controller.abort()
    const watchers = this.lossWatchers.get(member.name) ?? new Set()
    this.lossWatchers.set(member.name, watchers.add(watch))
    return { signal: controller.signal, dispose: () => watchers.delete(watch) }
  }

  start(): void {
    this.timer = setInterval(() => this.tick(), HEARTBEAT_INTERVAL_MS)
  }

  stop(): void {
    clearInterval(this.timer)
  }

  upsert(listed: ListedMember): void {
    const { seniority, ...member } = listed
    const existing = this.states.get(member.name)
    if (existing?.member.address === member.address && existing.seniority === seniority)
      return
    this.log.write('member-listed', { member: member.name, address: member.address, seniority: Number.isFinite(seniority) ? seniority : undefined })
    this.states.set(member.name, { member, seniority, heardAt: Number.NEGATIVE_INFINITY, heartbeatSentAt: Number.NEGATIVE_INFINITY, pendingHeartbeats: 0, stopping: existing?.stopping === true && member.name === this.self.name, alive: member.name === this.self.name })
    this.rank()
  }

  /** This gateway or another gives the coordinator role up. */
  markStopping(member: Member): void {
    const state = this.states.get(member.name)
    if (!state)
      return
    state.stopping = true
    this.tick()
  }

  remove(name: string): void {
    if (name === this.self.name || !this.states.delete(name))
      return
    this.log.write('member-removed', { member: name })
    this.rank()
  }

  /** A call to a member failed; it must answer a heartbeat before it is used again. */
  suspect(member: Member): void {
    const state = this.states.get(member.name)
    if (!state || member.name === this.self.name)
      return
    state.heardAt = Number.NEGATIVE_INFINITY
    this.setAlive(state, false)
    this.chooseCoordinator()
  }

  private rank(): void {
    this.ranked = [...this.states.values()].sort((left, right) => left.seniority - right.seniority || (left.member.name < right.member.name ? -1 : 1))
    this.chooseCoordinator()
  }

  /** Sends a heartbeat to every member that would own the stage work before the one that does, and the next one after it. */
  private tick(): void {
    const now = performance.now()
    this.forgiveOwnPause(now)
    let usable = 0
    for (const state of this.ranked) {
      if (state.member.name === this.self.name) {
        if (state.stopping)
          continue
        break
      }
      this.setAlive(state, now - state.heardAt < LOST_AFTER_MS)
      const interval = state.alive ? HEARTBEAT_INTERVAL_MS : LOST_HEARTBEAT_INTERVAL_MS
      if (state.pendingHeartbeats < MAX_PENDING_HEARTBEATS && now - state.heartbeatSentAt >= interval * 0.9)
        void this.heartbeat(state, now)
      if (state.alive && !state.stopping)
        usable++
      if (usable === WATCHED_CANDIDATES)
        break
    }
    this.chooseCoordinator()
  }

  /** While this process stood still it heard nobody: that time says nothing of the others. */
  private forgiveOwnPause(now: number): void {
    const pausedMs = now - this.tickedAt
    this.tickedAt = now
    if (pausedMs < LATE_TICK_MS)
      return
    for (const state of this.states.values())
      state.heardAt += pausedMs
  }

  private async heartbeat(state: MemberState, now: number): Promise<void> {
    state.pendingHeartbeats++
    state.heartbeatSentAt = now
    try {
      const reply = await this.contact.heartbeat(state.member)
      state.heardAt = performance.now()
      state.stopping = reply.stopping
      this.setAlive(state, true)
      this.onVersion(state.member, reply.version)
    }
    catch {
      // Whether it is lost is decided by when it was last heard.
    }
    state.pendingHeartbeats--
    this.chooseCoordinator()
  }

  private setAlive(state: MemberState, alive: boolean): void {
    if (state.alive === alive)
      return
    state.alive = alive
    this.log.write(alive ? 'member-recovered' : 'member-failed', { member: state.member.name })
    if (!alive)
      this.tellLoss(state.member.name)
  }

  private tellLoss(name: string): void {
    const watchers = this.lossWatchers.get(name)
    this.lossWatchers.delete(name)
    for (const watch of watchers ?? [])
      watch()
  }

  private chooseCoordinator(): void {
    const coordinator = this.ranked.find(state => state.alive && !state.stopping)?.member ?? this.self
    if (coordinator.name === this.currentCoordinator.name && coordinator.address === this.currentCoordinator.address)
      return
    this.log.write('stage-coordinator', { coordinator: coordinator.name, previous: this.currentCoordinator.name, members: this.states.size })
    this.currentCoordinator = coordinator
    for (const listener of this.coordinatorListeners)
      listener(coordinator)
  }
}
