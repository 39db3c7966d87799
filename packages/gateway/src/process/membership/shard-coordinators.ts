/**
 * The shards of the stage work as seen by this process, and the gateway that
 * coordinates each. The rules are in `shard-plan.ts` and
 * `coordinator-election.ts`. Owns the current plan and the gateways that left
 * recently; after a restart both are derived again from the directory.
 */
import type { Member } from '../../connection/peers/member.js'
import type { StageShard } from '../../connection/peers/stage-shard.js'
import type { GatewayLog } from '../gateway-log.js'
import type { MemberState } from './member-state.js'
import { isInShard, WHOLE_SHARD } from '../../connection/peers/stage-shard.js'
import { electCoordinator } from './coordinator-election.js'
import { DEPARTED_RETENTION_MS, planShards } from './shard-plan.js'

/** A gateway that left. */
interface Departure {
  member: Member
  /** Monotonic clock, in milliseconds. */
  at: number
}

/** Tracks the shards and their coordinators. */
export class ShardCoordinators {
  private shards: readonly StageShard[] = [WHOLE_SHARD]
  private candidateLists: MemberState[][] = []
  /** Keyed by shard name. */
  private coordinators = new Map<string, Member>()
  private readonly departures = new Map<string, Departure>()
  private readonly listeners: ((shard: StageShard) => void)[] = []

  constructor(private readonly log: GatewayLog) {}

  /** The current shards, or the whole as one shard if the work is not divided. */
  get current(): readonly StageShard[] {
    return this.shards
  }

  /** The ranked candidates for each shard; empty if the work is not divided. */
  get candidates(): readonly (readonly MemberState[])[] {
    return this.candidateLists
  }

  /** Calls the listener with each shard whose coordinator changes, and with each new shard. */
  onChange(listener: (shard: StageShard) => void): void {
    this.listeners.push(listener)
  }

  /**
   * The coordinator of a shard, which need not be a current one. Takes the ranked
   * members and the overall coordinator as fallback.
   */
  coordinatorOf(shard: StageShard, ranked: readonly MemberState[], fallback: Member): Member {
    return this.coordinators.get(shard.name) ?? electCoordinator(selectCandidates(shard, ranked), fallback)
  }

  noteListed(name: string): void {
    this.departures.delete(name)
  }

  noteDeparted(member: Member, now: number): void {
    this.departures.set(member.name, { member, at: now })
  }

  /** Updates the shards when gateways that left no longer count. */
  expireDepartures(ranked: readonly MemberState[], now: number): void {
    const expired = [...this.departures].filter(([, { at }]) => now - at >= DEPARTED_RETENTION_MS)
    expired.forEach(([name]) => this.departures.delete(name))
    if (expired.length > 0)
      this.updateShards(ranked)
  }

  /** Plans the shards from the ranked members. */
  updateShards(ranked: readonly MemberState[]): void {
    const departed = [...this.departures.values()].map(({ member }) => member)
    const shards = planShards([...ranked.map(({ member }) => member), ...departed])
    if (joinNames(shards) !== joinNames(this.shards))
      this.log.stageWorkDivided(joinNames(shards), ranked.length)
    this.shards = shards
    this.candidateLists = shards.length === 1 ? [] : shards.map(shard => selectCandidates(shard, ranked))
  }

  /** Elects the coordinator of each shard, with `fallback` for a shard that has no candidate. */
  electCoordinators(fallback: Member): void {
    const previous = this.coordinators
    this.coordinators = new Map(this.shards.map((shard, index) => [shard.name, electCoordinator(this.candidateLists[index] ?? [], fallback)]))
    for (const shard of this.shards)
      this.notifyIfChanged(shard, this.coordinators.get(shard.name)!, previous.get(shard.name))
  }

  private notifyIfChanged(shard: StageShard, coordinator: Member, previous: Member | undefined): void {
    if (previous && isSameProcess(coordinator, previous))
      return
    if (shard !== WHOLE_SHARD)
      this.log.shardCoordinatorChanged(shard.name, coordinator, previous)
    for (const listener of this.listeners)
      listener(shard)
  }
}

/** Whether two members are the same process: a restarted one has another address, or is listed again. */
export function isSameProcess(left: Member, right: Member): boolean {
  return left.name === right.name && left.address === right.address
}

function selectCandidates(shard: StageShard, ranked: readonly MemberState[]): MemberState[] {
  return ranked.filter(({ member }) => isInShard(shard, member.failureDomain))
}

function joinNames(shards: readonly StageShard[]): string {
  return shards.map(({ name }) => name).join(', ')
}
