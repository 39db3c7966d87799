/**
 * The shards of the stage work as this process sees them, and the gateway that
 * coordinates each. The rules are in `division.ts` and `coordinator-choice.ts`.
 * It owns the current division, and which gateways went lately; both are lost
 * with the process, and worked out anew from the directory.
 */
import type { Member } from '../../connection/peers/member.js'
import type { StageShard } from '../../connection/peers/stage-shard.js'
import type { GatewayLog } from '../gateway-log.js'
import type { MemberState } from './member-state.js'
import { isInShard, WHOLE_SHARD } from '../../connection/peers/stage-shard.js'
import { chooseCoordinator } from './coordinator-choice.js'
import { DEPARTED_FOR_MS, divideStageWork } from './division.js'

/** A gateway that went. */
interface Departure {
  member: Member
  /** Milliseconds of the process clock. */
  at: number
}

/** Follows the division and its coordinators. */
export class ShardCoordinators {
  private shards: readonly StageShard[] = [WHOLE_SHARD]
  private candidateLists: MemberState[][] = []
  /** By the name of their shard. */
  private coordinators = new Map<string, Member>()
  private readonly departures = new Map<string, Departure>()
  private readonly listeners: ((shard: StageShard) => void)[] = []

  constructor(private readonly log: GatewayLog) {}

  /** The shards now; the whole where nothing is divided. */
  get current(): readonly StageShard[] {
    return this.shards
  }

  /** The candidates for each shard, in their order; none where nothing is divided. */
  get candidates(): readonly (readonly MemberState[])[] {
    return this.candidateLists
  }

  /** Called with each shard whose coordinator changes, also where the shard is new. */
  onChange(listener: (shard: StageShard) => void): void {
    this.listeners.push(listener)
  }

  /** The coordinator of a shard, be it one of the current ones or not; takes all members in their order, and the first of them that can coordinate. */
  coordinatorOf(shard: StageShard, ranked: readonly MemberState[], first: Member): Member {
    return this.coordinators.get(shard.name) ?? chooseCoordinator(selectCandidates(shard, ranked), first)
  }

  noteListed(name: string): void {
    this.departures.delete(name)
  }

  noteDeparted(member: Member, now: number): void {
    this.departures.set(member.name, { member, at: now })
  }

  /** Divides anew where gateways that went no longer count. */
  tick(ranked: readonly MemberState[], now: number): void {
    const expired = [...this.departures].filter(([, { at }]) => now - at >= DEPARTED_FOR_MS)
    expired.forEach(([name]) => this.departures.delete(name))
    if (expired.length > 0)
      this.divide(ranked)
  }

  /** Divides the work by the members listed, in their order. */
  divide(ranked: readonly MemberState[]): void {
    const departed = [...this.departures.values()].map(({ member }) => member)
    const shards = divideStageWork([...ranked.map(({ member }) => member), ...departed])
    if (namesOf(shards) !== namesOf(this.shards))
      this.log.stageWorkDivided(namesOf(shards), ranked.length)
    this.shards = shards
    this.candidateLists = shards.length === 1 ? [] : shards.map(shard => selectCandidates(shard, ranked))
  }

  /** Chooses the coordinators anew; where a shard has no candidate, it is the first of all members. */
  update(first: Member): void {
    const previous = this.coordinators
    this.coordinators = new Map(this.shards.map((shard, number) => [shard.name, chooseCoordinator(this.candidateLists[number] ?? [], first)]))
    for (const shard of this.shards)
      this.reportChange(shard, this.coordinators.get(shard.name)!, previous.get(shard.name))
  }

  private reportChange(shard: StageShard, coordinator: Member, previous: Member | undefined): void {
    if (previous && isSameProcess(coordinator, previous))
      return
    if (shard !== WHOLE_SHARD)
      this.log.shardCoordinatorChanged(shard.name, coordinator, previous)
    for (const listener of this.listeners)
      listener(shard)
  }
}

/** Whether two members are one process: one that restarts has another address or is listed anew. */
export function isSameProcess(left: Member, right: Member): boolean {
  return left.name === right.name && left.address === right.address
}

function selectCandidates(shard: StageShard, ranked: readonly MemberState[]): MemberState[] {
  return ranked.filter(({ member }) => isInShard(shard, member.failureDomain))
}

function namesOf(shards: readonly StageShard[]): string {
  return shards.map(({ name }) => name).join(', ')
}
