/**
 * Decides the order in which backend servers are tried for a request.
 *
 * Inputs: the backend servers of the service that take new work and weren't
 * tried; the calls of this process under way at each (now); the load that each
 * reported with an answer (at most LOAD_LIFETIME_MS old); for model engines also
 * the prompt's parts (tokens) and the stage results to fetch (bytes).
 * Rule: the least predicted cost first. Plain services: load for each slot, with
 * a surcharge for another failure domain. Model engines, in milliseconds: shared
 * prompt tokens to read again, requests at work there, bytes from another
 * failure domain.
 * Why: prompt parts shared by requests stay in a backend server's memory; one
 * server for each shared part, found by rendezvous hashing, lets all gateways
 * agree without a message, and load still moves requests away from it.
 * Log event: `route`.
 */
import type { EjectionPolicy } from '@eidermast/common'
import type { Backend } from '../../connection/backends/backend.js'
import type { PromptPart } from '../../connection/clients/client-codec.js'
import { countTokens, findHome, sharedParts } from '../prompt-parts.js'

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
  /** The candidates that aren't ejected, the best first; empty where there is none. */
  order: (candidates: readonly Backend[], subject: ChoiceSubject) => Backend[]
}

/**
 * Milliseconds; older reports of load count for nothing. Half ignores servers
 * that answer seldom, twice avoids servers that are idle again.
 */
const LOAD_LIFETIME_MS = 1500

/** Requests that a backend server works on or holds, as far as this process knows. */
function knownLoad(backend: Backend, now: number): number {
  const isRecent = now - backend.loadAt < LOAD_LIFETIME_MS
  const reported = backend.load && isRecent ? backend.load.running + backend.load.waiting : 0
  return Math.max(backend.outstanding, reported)
}

/**
 * Load for each slot that a call to another failure domain weighs. Half crosses
 * domains for small differences of load, twice lets the own domain fill up
 * first.
 */
const OTHER_DOMAIN_COST = 0.3
/**
 * Load for each slot, at random, that spreads calls of several gateways over
 * servers with like loads. It only has to be smaller than one call's share.
 */
const MAX_TIE_BREAK = 0.01

/** Plain services: the least load for each slot, the own failure domain where loads are alike. */
export class LeastLoadChoice implements BackendChoice {
  constructor(private readonly ejection: EjectionPolicy) {}

  order(candidates: readonly Backend[], subject: ChoiceSubject): Backend[] {
    const now = performance.now()
    return orderByCost(this.ejection.filter(candidates), backend => this.cost(backend, subject, now))
  }

  private cost(backend: Backend, subject: ChoiceSubject, now: number): number {
    const load = knownLoad(backend, now) / Math.max(1, backend.record.capacity)
    const crossing = backend.failureDomain === subject.failureDomain ? 0 : OTHER_DOMAIN_COST
    return load + crossing + Math.random() * MAX_TIE_BREAK
  }
}

/**
 * Milliseconds for each prompt token read again. Well above the reading time,
 * since it also takes the server's time from others.
 */
const TOKEN_COST_MS = 0.05
/**
 * Milliseconds for each request at work beside this one. Half keeps shared
 * prompts on busy servers, twice scatters them.
 */
const RUNNING_COST_MS = 8
/**
 * Bytes from another failure domain that cost one millisecond. Half moves
 * requests to busy servers to save bytes, twice crosses domains for small
 * differences of load.
 */
const OTHER_DOMAIN_BYTES_PER_MS = 40_000

/** Model engines: cached prompt parts, load, and bytes from other failure domains. */
export class PrefixAwareChoice implements BackendChoice {
  constructor(private readonly ejection: EjectionPolicy) {}

  order(candidates: readonly Backend[], subject: ChoiceSubject): Backend[] {
    const now = performance.now()
    const usable = this.ejection.filter(candidates)
    const sharedTokens = countTokens(sharedParts(subject.promptParts))
    const home = findHome(subject.promptParts, usable)
    return orderByCost(usable, (backend) => {
      const read = backend === home ? 0 : sharedTokens * TOKEN_COST_MS
      const fetch = backend.failureDomain === subject.failureDomain ? 0 : subject.bytes / OTHER_DOMAIN_BYTES_PER_MS
      return read + fetch + knownLoad(backend, now) * RUNNING_COST_MS
    })
  }
}

function orderByCost(backends: readonly Backend[], costOf: (backend: Backend) => number): Backend[] {
  return backends
    .map(backend => ({ backend, cost: costOf(backend) }))
    .sort((left, right) => left.cost - right.cost)
    .map(entry => entry.backend)
}
