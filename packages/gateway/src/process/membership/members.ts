/**
 * The gateways of the deployment as seen by this process, the overall
 * coordinator, and the coordinator of each shard of the stage work. The list
 * comes from the platform's directory; liveness is determined only by replies to
 * heartbeats (`peer-monitor.ts`).
 *
 * Owns the member states, in memory. After a restart the process reads the
 * directory again, and uses no other member before it has answered a heartbeat.
 * The election rule is in `coordinator-election.ts`, the shards are in
 * `shard-coordinators.ts`.
 */
import type { EventLog } from '@eidermast/common'
import type { Member } from '../../connection/peers/member.js'
import type { HeartbeatReply } from '../../connection/peers/peer-messages.js'
import type { StageShard } from '../../connection/peers/stage-shard.js'
import type { ListedMember, MemberSink } from '../platform-adapter.js'
import type { FailureWatch } from './failure-watches.js'
import type { MemberState } from './member-state.js'
import type { PeerContact } from './peer-monitor.js'
import { GatewayLog } from '../gateway-log.js'
import { electCoordinator, explainChange, rankCandidates } from './coordinator-election.js'
import { HEARTBEAT_INTERVAL_MS } from './failure-detection.js'
import { createMemberState } from './member-state.js'
import { PeerMonitor } from './peer-monitor.js'
import { isSameProcess, ShardCoordinators } from './shard-coordinators.js'

/** Tracks members and elects the coordinators. */
export class Members implements MemberSink {
  private readonly states = new Map<string, MemberState>()
  /** The states, ranked as coordinator candidates. */
  private ranked: MemberState[] = []
  private currentCoordinator: Member
  private readonly shardCoordinators: ShardCoordinators
  private readonly peerMonitor: PeerMonitor
  private readonly processListeners: ((member: Member) => void)[] = []
  private readonly coordinatorListeners: (() => void)[] = []
  private readonly listListeners: ((members: number) => void)[] = []
  private readonly log: GatewayLog
  private timer: NodeJS.Timeout | undefined
  /** Cached `place`; undefined after members were listed or removed. */
  private cachedIndex: number | undefined
  /** Whether members were listed or removed since the last ranking. */
  private rankingPending = false

  constructor(
    readonly self: Member,
    contact: PeerContact,
    log: EventLog,
    /** Called with a peer and its reply to a heartbeat. */
    onReply: (member: Member, reply: HeartbeatReply) => void,
  ) {
    this.log = new GatewayLog(log)
    this.shardCoordinators = new ShardCoordinators(this.log)
    this.currentCoordinator = self
    this.peerMonitor = new PeerMonitor({
      members: {
        states: () => this.states.values(),
        ranked: () => this.ranked,
        candidates: () => this.shardCoordinators.candidates,
        self: () => this.states.get(self.name),
      },
      contact,
      coreShare: self.coreShare,
      log: this.log,
      onOrderChange: (state, order) => this.updateAnnouncementOrder(state, order),
      onReply,
      onChange: () => this.updateCoordinators(),
    })
    this.upsert({ ...self, announcementOrder: Number.POSITIVE_INFINITY })
  }

  /** Starts sending heartbeats. */
  start(): void {
    this.peerMonitor.start(performance.now())
    this.rankIfPending()
    this.timer = setInterval(() => this.tick(), HEARTBEAT_INTERVAL_MS)
  }

  stop(): void {
    clearInterval(this.timer)
  }

  /** Number of listed members, including this process. */
  get count(): number {
    return this.states.size
  }

  /** The listed members except this process. */
  get others(): Member[] {
    return [...this.states.values()].filter(({ isSelf }) => !isSelf).map(({ member }) => member)
  }

  /** Index of this process among the members sorted by name. All processes with the same list agree on it. */
  get index(): number {
    this.cachedIndex ??= [...this.states.keys()].filter(name => name < this.self.name).length
    return this.cachedIndex
  }

  /**
   * The overall coordinator. It reads the platform's store for the others, and
   * coordinates the shards that have no candidate.
   */
  get coordinator(): Member {
    this.rankIfPending()
    return this.currentCoordinator
  }

  /** The current shards of the stage work, or the whole as one shard if it is not divided. */
  get shards(): readonly StageShard[] {
    this.rankIfPending()
    return this.shardCoordinators.current
  }

  /** The gateway that coordinates a shard, which need not be a current one. */
  coordinatorOf(shard: StageShard): Member {
    this.rankIfPending()
    return this.shardCoordinators.coordinatorOf(shard, this.ranked, this.currentCoordinator)
  }

  /** Number of shards that this process coordinates. */
  get coordinatedShardCount(): number {
    return this.shards.filter(shard => this.coordinatorOf(shard).name === this.self.name).length
  }

  /** Calls the listener with each shard whose coordinator changes, and with each new shard. */
  onShardChange(listener: (shard: StageShard) => void): void {
    this.shardCoordinators.onChange(listener)
  }

  /** Calls the listener when another process has become the overall coordinator. */
  onCoordinatorChange(listener: () => void): void {
    this.coordinatorListeners.push(listener)
  }

  /** Calls the listener with each member that is listed for the first time or has started again. */
  onNewProcess(listener: (member: Member) => void): void {
    this.processListeners.push(listener)
  }

  /** Calls the listener with the number of listed members once the directory lists this process, and after each change since. */
  onListChange(listener: (members: number) => void): void {
    this.listListeners.push(listener)
  }

  get isCoordinator(): boolean {
    return this.coordinator.name === this.self.name
  }

  /** Whether this process is short of CPU time and coordinates only if no other member can. */
  get isSelfSlow(): boolean {
    return this.states.get(this.self.name)?.slow ?? false
  }

  /** Position of this process's announcement; undefined before the directory lists it. */
  get selfOrder(): number | undefined {
    const order = this.states.get(this.self.name)?.announcementOrder
    return Number.isFinite(order) ? order : undefined
  }

  /**
   * Whether another gateway answers heartbeats and is not stopping. While this
   * process is stopping, it is no candidate itself, so the members are monitored
   * until others that can coordinate are found.
   */
  get othersServe(): boolean {
    this.rankIfPending()
    return this.ranked.some(state => !state.isSelf && state.alive && !state.stopping)
  }

  /** Resolves when enough peers have answered for this process to know the coordinator (see `peer-discovery.ts`). */
  whenPeersDiscovered(): Promise<void> {
    return this.peerMonitor.whenPeersDiscovered()
  }

  /** Returns a signal that aborts when a member fails, to be released by `dispose`. */
  watchFailure(member: Member): FailureWatch {
    return this.peerMonitor.watchFailure(member)
  }

  /** Lists a member. A known name with another address or announcement order is a new process. */
  upsert(listed: ListedMember): void {
    const existing = this.states.get(listed.name)
    if (existing?.member.address === listed.address && existing.announcementOrder === listed.announcementOrder)
      return
    const state = createMemberState(listed, listed.name === this.self.name)
    state.stopping = state.isSelf && existing?.stopping === true
    state.slow = state.isSelf && existing?.slow === true
    this.log.memberListed(state.member, state.announcementOrder)
    this.states.set(listed.name, state)
    this.cachedIndex = undefined
    this.shardCoordinators.noteListed(listed.name)
    this.scheduleRanking()
    this.reportNewProcess(state)
  }

  /** Called after a read of the directory, once all members in it have been listed. */
  noteListRead(): void {
    this.peerMonitor.noteDirectoryRead(performance.now())
    this.scheduleRanking()
  }

  remove(name: string): void {
    const state = this.states.get(name)
    if (!state || state.isSelf)
      return
    this.states.delete(name)
    this.cachedIndex = undefined
    this.shardCoordinators.noteDeparted(state.member, performance.now())
    this.log.memberRemoved(name)
    this.scheduleRanking()
  }

  /** Excludes a gateway that is stopping, this one or a peer, from the election. */
  markStopping(member: Member): void {
    const state = this.states.get(member.name)
    if (!state)
      return
    state.stopping = true
    this.tick()
  }

  /** Probes all members again before requests are assigned, since this process may have been suspended. */
  restartDiscovery(): void {
    this.peerMonitor.restartDiscovery(performance.now())
    this.tick()
  }

  /** Reports a response of a member to another call than a heartbeat, which shows that its process runs. */
  noteResponse(member: Member): void {
    const state = this.states.get(member.name)
    if (state && isSameProcess(state.member, member))
      this.peerMonitor.noteResponse(state)
  }

  /** Reports a failed call to a member, which must answer a heartbeat before it is used again. */
  suspect(member: Member): void {
    const state = this.states.get(member.name)
    if (!state || state.isSelf)
      return
    this.peerMonitor.suspect(state)
    this.updateCoordinators()
  }

  private tick(): void {
    this.rankIfPending()
    const now = performance.now()
    this.peerMonitor.recordTick(now)
    this.shardCoordinators.expireDepartures(this.ranked, now)
    this.peerMonitor.checkMembers(now)
    this.updateCoordinators()
  }

  /**
   * Takes the announcement order that a member reports itself, which may be newer
   * than the directory's. With the entry of the previous process at the same
   * address, two gateways that restarted together would each expect the other to
   * coordinate, and both would coordinate.
   */
  private updateAnnouncementOrder(state: MemberState, announcementOrder: number): void {
    state.announcementOrder = announcementOrder
    this.log.memberListed(state.member, announcementOrder)
    this.rank()
    this.reportNewProcess(state)
  }

  private reportNewProcess({ member, isSelf }: MemberState): void {
    for (const listener of isSelf ? [] : this.processListeners)
      listener(member)
  }

  /**
   * Ranks the members once for all changes of one directory read, then sends the
   * heartbeats that are due. Ranking after each change cost a starting process 16
   * ms of CPU time for the first list of 68 gateways, and 40 ms for the next one
   * after all had restarted, instead of 3 ms and 0.7 ms.
   */
  private scheduleRanking(): void {
    if (this.rankingPending)
      return
    this.rankingPending = true
    queueMicrotask(() => {
      this.rankIfPending()
      if (this.timer)
        this.tick()
    })
  }

  /**
   * Applies a pending ranking. Getters call it, so that they reflect the listed
   * members before the scheduled ranking.
   */
  private rankIfPending(): void {
    if (!this.rankingPending)
      return
    this.rankingPending = false
    this.rank()
    this.reportList()
  }

  private reportList(): void {
    if (this.selfOrder === undefined)
      return
    for (const listener of this.listListeners)
      listener(this.count)
  }

  private rank(): void {
    this.ranked = rankCandidates(this.states.values())
    this.shardCoordinators.updateShards(this.ranked)
    this.updateCoordinators()
  }

  private updateCoordinators(): void {
    this.updateOverallCoordinator()
    this.shardCoordinators.electCoordinators(this.currentCoordinator)
  }

  private updateOverallCoordinator(): void {
    const previous = this.currentCoordinator
    const coordinator = electCoordinator(this.ranked, this.self)
    if (isSameProcess(coordinator, previous))
      return
    const reason = explainChange(this.states.get(previous.name))
    this.log.coordinatorChanged({ coordinator, previous, reason }, this.states.size)
    this.currentCoordinator = coordinator
    for (const listener of this.coordinatorListeners)
      listener()
  }
}
