/**
 * The gateways of the deployment as this process sees them, the first of them
 * that can coordinate, and the one that coordinates each shard of the stage
 * work. The list comes from the platform's directory; whether a member is alive
 * is learned from its answers to heartbeats only (`peer-watch.ts`).
 *
 * It owns the states of the members, in memory. When the process dies they are
 * lost: it reads the directory again at its start, and sends heartbeats before
 * it uses any member. The rule is in `coordinator-choice.ts`; shards are in
 * `shard-coordinators.ts`.
 */
import type { EventLog } from '@eidermast/common'
import type { Member } from '../../connection/peers/member.js'
import type { HeartbeatReply } from '../../connection/peers/peer-messages.js'
import type { StageShard } from '../../connection/peers/stage-shard.js'
import type { ListedMember, MemberSink, PeerView } from '../platform-adapter.js'
import type { FailureWatch } from './failure-watches.js'
import type { MemberState } from './member-state.js'
import type { PeerContact } from './peer-watch.js'
import { GatewayLog } from '../gateway-log.js'
import { chooseCoordinator, rankCandidates } from './coordinator-choice.js'
import { HEARTBEAT_INTERVAL_MS } from './failure-detection.js'
import { createMemberState } from './member-state.js'
import { PeerWatch } from './peer-watch.js'
import { isSameProcess, ShardCoordinators } from './shard-coordinators.js'

/** Follows members and keeps the coordinator. */
export class Members implements MemberSink, PeerView {
  private readonly states = new Map<string, MemberState>()
  /** The states in the order in which they would coordinate. */
  private ranked: MemberState[] = []
  private currentCoordinator: Member
  private readonly shardCoordinators: ShardCoordinators
  private readonly peerWatch: PeerWatch
  private readonly log: GatewayLog
  private timer: NodeJS.Timeout | undefined
  /** Place among the members by their names; undefined since members were listed or removed. */
  private knownPlace: number | undefined
  /** Members were listed or removed since the last ranking. */
  private rankDue = false

  constructor(
    readonly self: Member,
    contact: PeerContact,
    log: EventLog,
    /** Called with a peer and its answer to a heartbeat. */
    onReply: (member: Member, reply: HeartbeatReply) => void,
  ) {
    this.log = new GatewayLog(log)
    this.shardCoordinators = new ShardCoordinators(this.log)
    this.currentCoordinator = self
    this.peerWatch = new PeerWatch({
      members: {
        states: () => this.states.values(),
        ranked: () => this.ranked,
        candidates: () => this.shardCoordinators.candidates,
        self: () => this.states.get(self.name),
      },
      contact,
      coreShare: self.coreShare,
      log: this.log,
      orderChanged: (state, order) => this.setOrder(state, order),
      onReply,
      changed: () => this.updateCoordinator(),
    })
    this.upsert({ ...self, announcementOrder: Number.POSITIVE_INFINITY })
  }

  /** Starts the heartbeats. */
  start(): void {
    this.peerWatch.begin(performance.now())
    this.rankIfDue()
    this.timer = setInterval(() => this.tick(), HEARTBEAT_INTERVAL_MS)
  }

  stop(): void {
    clearInterval(this.timer)
  }

  /** Members listed, this one included. */
  get count(): number {
    return this.states.size
  }

  /** Place of this process among the members by their names, from 0; all that know the same members agree on it. */
  get place(): number {
    this.knownPlace ??= [...this.states.keys()].filter(name => name < this.self.name).length
    return this.knownPlace
  }

  /** The first member that can coordinate: it reads the platform's store for the others, and coordinates what no other can. */
  get coordinator(): Member {
    this.rankIfDue()
    return this.currentCoordinator
  }

  /** The shards into which the stage work is divided now; the whole where it is not. */
  get shards(): readonly StageShard[] {
    this.rankIfDue()
    return this.shardCoordinators.current
  }

  /** The gateway that coordinates a shard, be it one of the current ones or not. */
  coordinatorOf(shard: StageShard): Member {
    this.rankIfDue()
    return this.shardCoordinators.coordinatorOf(shard, this.ranked, this.currentCoordinator)
  }

  /** Shards that this process coordinates. */
  get coordinatedShards(): number {
    return this.shards.filter(shard => this.coordinatorOf(shard).name === this.self.name).length
  }

  /** Called with each shard whose coordinator changes, also where the shard is new. */
  onShardChange(listener: (shard: StageShard) => void): void {
    this.shardCoordinators.onChange(listener)
  }

  get isCoordinator(): boolean {
    return this.coordinator.name === this.self.name
  }

  /** All others send heartbeats to the first member, and hear from it what it has read. */
  get receivesPeerUpdates(): boolean {
    return !this.isCoordinator
  }

  /** Whether this process is short of processor time and coordinates only where nobody else can. */
  get isSelfSlow(): boolean {
    return this.states.get(this.self.name)?.slow ?? false
  }

  /** Place of this process's announcement; undefined before the directory lists it. */
  get selfOrder(): number | undefined {
    const order = this.states.get(this.self.name)?.announcementOrder
    return Number.isFinite(order) ? order : undefined
  }

  /** Whether another gateway answers heartbeats and is not stopping; known of all while this one is stopping. */
  get othersServe(): boolean {
    this.rankIfDue()
    return this.ranked.some(state => !state.isSelf && state.alive && !state.stopping)
  }

  /** Resolves when this process has heard enough of the others to know who coordinates, at once where it has; see `acquaintance.ts`. */
  whenAcquainted(): Promise<void> {
    return this.peerWatch.whenAcquainted()
  }

  /** A signal that aborts when a member fails; released by `dispose`. */
  watchFailure(member: Member): FailureWatch {
    return this.peerWatch.watchFailure(member)
  }

  /** Lists a member; one that is listed again with another address or order is a new process. */
  upsert(listed: ListedMember): void {
    const existing = this.states.get(listed.name)
    if (existing?.member.address === listed.address && existing.announcementOrder === listed.announcementOrder)
      return
    const state = createMemberState(listed, listed.name === this.self.name)
    state.stopping = state.isSelf && existing?.stopping === true
    state.slow = state.isSelf && existing?.slow === true
    this.log.memberListed(state.member, state.announcementOrder)
    this.states.set(listed.name, state)
    this.knownPlace = undefined
    this.shardCoordinators.noteListed(listed.name)
    this.rankSoon()
  }

  /** The directory was read, and what it lists is listed here. */
  noteListRead(): void {
    this.peerWatch.noteListRead(performance.now())
    this.rankSoon()
  }

  remove(name: string): void {
    const state = this.states.get(name)
    if (!state || state.isSelf)
      return
    this.states.delete(name)
    this.knownPlace = undefined
    this.shardCoordinators.noteDeparted(state.member, performance.now())
    this.log.memberRemoved(name)
    this.rankSoon()
  }

  /** This gateway or another is stopping and does not coordinate from now on. */
  markStopping(member: Member): void {
    const state = this.states.get(member.name)
    if (!state)
      return
    state.stopping = true
    this.tick()
  }

  /** This process may have been away: all are asked anew before it decides for them. */
  meetAgain(): void {
    this.peerWatch.meetAgain(performance.now())
    this.tick()
  }

  /** A call to a member failed; it must answer a heartbeat before it is used again. */
  suspect(member: Member): void {
    const state = this.states.get(member.name)
    if (!state || state.isSelf)
      return
    this.peerWatch.suspect(state)
    this.updateCoordinator()
  }

  private tick(): void {
    this.rankIfDue()
    const now = performance.now()
    this.peerWatch.takeOwnTick(now)
    this.shardCoordinators.tick(this.ranked, now)
    this.peerWatch.look(now)
    this.updateCoordinator()
  }

  /**
   * A process knows its own place best: by the record of an earlier process at
   * its address, each of two gateways that restarted together would leave the
   * stage work to the other, and both would coordinate.
   */
  private setOrder(state: MemberState, announcementOrder: number): void {
    state.announcementOrder = announcementOrder
    this.log.memberListed(state.member, announcementOrder)
    this.rank()
  }

  /**
   * Ranks the members once for all that one read of the directory brings, then
   * sends the heartbeats that are due. With a ranking for each, the first list of
   * 68 gateways takes a starting process 16 ms of processor time, and the next
   * one, after all restarted, 40 ms; with one for all 3 and 0.7 ms (three
   * processes each).
   */
  private rankSoon(): void {
    if (this.rankDue)
      return
    this.rankDue = true
    queueMicrotask(() => {
      this.rankIfDue()
      if (this.timer)
        this.tick()
    })
  }

  /** Whoever asks before that sees the members as they are listed. */
  private rankIfDue(): void {
    if (!this.rankDue)
      return
    this.rankDue = false
    this.rank()
  }

  private rank(): void {
    this.ranked = rankCandidates(this.states.values())
    this.shardCoordinators.divide(this.ranked)
    this.updateCoordinator()
  }

  private updateCoordinator(): void {
    this.updateFirst()
    this.shardCoordinators.update(this.currentCoordinator)
  }

  private updateFirst(): void {
    const previous = this.currentCoordinator
    const coordinator = chooseCoordinator(this.ranked, this.self)
    if (isSameProcess(coordinator, previous))
      return
    this.log.coordinatorChanged(coordinator, previous, this.states.size)
    this.currentCoordinator = coordinator
  }
}
