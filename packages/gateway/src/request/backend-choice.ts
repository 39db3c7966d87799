/**
 * Choice of the backend server for a request: the least predicted cost, in
 * milliseconds, among the backend servers that are not left out.
 */
import type { EjectionPolicy } from '@eidermast/common'
import type { Backend } from '../connection/backend.js'
import type { PromptPart } from '../connection/client-codec.js'
import { rankByRendezvous } from './rendezvous.js'

/** What a choice goes by. */
export interface ChoiceSubject {
  /** Parts of the prompt in order; the last one belongs to the request itself. */
  promptParts: readonly PromptPart[]
  /** Failure domain of the caller, or where most of what the backend server fetches lies. */
  failureDomain: string
  /** Bytes that the backend server fetches from that failure domain. */
  bytes: number
}

/** A way to choose among backend servers. */
export interface BackendChoice {
  /** The candidates with the best first; empty where there is none. */
  order: (candidates: readonly Backend[], subject: ChoiceSubject) => Backend[]
}

/** A load that was told longer ago counts for nothing, in milliseconds. */
const LOAD_LIFETIME_MS = 1500

/** Requests that a backend server works on or holds, as far as this process knows. */
export function knownLoad(backend: Backend, now = performance.now()): number {
  const reported = backend.load && now - backend.loadAt < LOAD_LIFETIME_MS ? backend.load.running + backend.load.waiting : 0
  return Math.max(backend.outstanding, reported)
}

const OTHER_DOMAIN_COST = 0.3

/** Plain services: the least load for each slot, the own failure domain where loads are alike. */
export class LeastLoadChoice implements BackendChoice {
  constructor(private readonly ejection: EjectionPolicy) {}

  order(candidates: readonly Backend[], subject: ChoiceSubject): Backend[] {
    const now = performance.now()
    return this.ejection.filter(candidates)
      .map(backend => ({ backend, cost: this.cost(backend, subject, now) }))
      .sort((left, right) => left.cost - right.cost)
      .map(entry => entry.backend)
  }

  private cost(backend: Backend, subject: ChoiceSubject, now: number): number {
    const load = knownLoad(backend, now) / Math.max(1, backend.record.capacity)
    return load + (backend.failureDomain === subject.failureDomain ? 0 : OTHER_DOMAIN_COST) + Math.random() * 0.01
  }
}

/** Cost of reading one prompt token, in milliseconds; well above the time, since reading again wastes the backend server. */
const TOKEN_COST_MS = 0.05
/** Cost of one request at work beside this one, in milliseconds. */
const RUNNING_COST_MS = 8
/** Bytes fetched from another failure domain that weigh as much as one millisecond. */
const OTHER_DOMAIN_BYTES_PER_MS = 40_000

/** Model backend servers: cached prompt parts, load and bytes from other failure domains. */
export class PrefixAwareChoice implements BackendChoice {
  constructor(private readonly ejection: EjectionPolicy) {}

  order(candidates: readonly Backend[], subject: ChoiceSubject): Backend[] {
    const now = performance.now()
    const usable = this.ejection.filter(candidates)
    const shared = subject.promptParts.slice(0, -1)
    const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0)
    const home = shared.length > 0 ? rankByRendezvous(shared.at(-1)!.id, usable, backend => backend.id)[0] : undefined
    return usable
      .map((backend) => {
        const read = backend === home ? 0 : sharedTokens * TOKEN_COST_MS
        const fetch = backend.failureDomain === subject.failureDomain ? 0 : subject.bytes / OTHER_DOMAIN_BYTES_PER_MS
        return { backend, cost: read + fetch + knownLoad(backend, now) * RUNNING_COST_MS }
      })
      .sort((left, right) => left.cost - right.cost)
      .map(entry => entry.backend)
  }
}
