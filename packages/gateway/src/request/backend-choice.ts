/**
 * Choice of the replica for a request: the least predicted cost, in
 * milliseconds, among the replicas that are not left out.
 */
import type { EjectionPolicy } from '@eidermast/common'
import type { Replica } from '../connection/backend.js'
import { rankByRendezvous } from './rendezvous.js'

/** One part of a prompt; parts may be shared between requests. */
export interface PromptPart {
  id: string
  tokens: number
}

/** What a choice goes by. */
export interface ChoiceSubject {
  /** Parts of the prompt in order; the last one belongs to the request itself. */
  promptParts: readonly PromptPart[]
  /** Zone of the caller, or where most of what the replica fetches lies. */
  zone: string
  /** Bytes that the replica fetches from that zone. */
  bytes: number
}

/** A way to choose among replicas. */
export interface ReplicaChoice {
  /** The candidates with the best first; empty where there is none. */
  order: (candidates: readonly Replica[], subject: ChoiceSubject) => Replica[]
}

/** A load that was told longer ago counts for nothing, in milliseconds. */
const LOAD_LIFETIME_MS = 1500

/** Requests that a replica works on or holds, as far as this process knows. */
export function knownLoad(replica: Replica, now = performance.now()): number {
  const told = replica.load && now - replica.loadAt < LOAD_LIFETIME_MS ? replica.load.running + replica.load.waiting : 0
  return Math.max(replica.outstanding, told)
}

const OTHER_ZONE_COST = 0.3

/** Plain services: the least load for each slot, the own zone where loads are alike. */
export class LeastLoadChoice implements ReplicaChoice {
  constructor(private readonly ejection: EjectionPolicy) {}

  order(candidates: readonly Replica[], subject: ChoiceSubject): Replica[] {
    const now = performance.now()
    return this.ejection.filter(candidates)
      .map(replica => ({ replica, cost: this.cost(replica, subject, now) }))
      .sort((left, right) => left.cost - right.cost)
      .map(entry => entry.replica)
  }

  private cost(replica: Replica, subject: ChoiceSubject, now: number): number {
    const load = knownLoad(replica, now) / Math.max(1, replica.record.capacity)
    return load + (replica.zone === subject.zone ? 0 : OTHER_ZONE_COST) + Math.random() * 0.01
  }
}

/** Cost of reading one prompt token, in milliseconds; well above the time, since reading again wastes the replica. */
const TOKEN_COST_MS = 0.05
/** Cost of one request at work beside this one, in milliseconds. */
const RUNNING_COST_MS = 8
/** Bytes fetched from another zone that weigh as much as one millisecond. */
const OTHER_ZONE_BYTES_PER_MS = 40_000

/** Model replicas: cached prompt parts, load and bytes from other zones. */
export class PrefixAwareChoice implements ReplicaChoice {
  constructor(private readonly ejection: EjectionPolicy) {}

  order(candidates: readonly Replica[], subject: ChoiceSubject): Replica[] {
    const now = performance.now()
    const usable = this.ejection.filter(candidates)
    const shared = subject.promptParts.slice(0, -1)
    const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0)
    const home = shared.length > 0 ? rankByRendezvous(shared.at(-1)!.id, usable, replica => replica.id)[0] : undefined
    return usable
      .map((replica) => {
        const read = replica === home ? 0 : sharedTokens * TOKEN_COST_MS
        const fetch = replica.zone === subject.zone ? 0 : subject.bytes / OTHER_ZONE_BYTES_PER_MS
        return { replica, cost: read + fetch + knownLoad(replica, now) * RUNNING_COST_MS }
      })
      .sort((left, right) => left.cost - right.cost)
      .map(entry => entry.replica)
  }
}
