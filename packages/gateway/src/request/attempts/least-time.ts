/**
 * Decides the order in which plain backend servers are tried, by the time that a
 * request is expected to take there (setting `backend-speed = measured`).
 *
 * Load: servers that differ several times in speed, below the capacity of all;
 * many gateways that choose at once.
 * Inputs: the candidates; for each the expected wait and time of service (ms) and
 * the requests there, as of now (load-estimator.ts); the number of gateways that
 * choose by the same counts of the load exchange (as old as the last answer).
 * Rule: lowest expected time first, plus a penalty for another failure domain and
 * a small part for load that causes no wait yet. If more than MAX_ORDERING_GATEWAYS
 * choose by the same counts, the first is the better of two drawn by speed.
 * Why: a slow server gets what it can finish in time, neither all nor nothing.
 * Many gateways that choose the best by the same counts would all choose the same
 * one; between two random ones they spread. Gateways that know different servers
 * spread by themselves.
 * Log event: `route` (`expectedMs`, `serviceMs`, `slowness`).
 */
import type { EjectionPolicy } from '@eidermast/common'
import type { Backend } from '../../connection/backends/backend.js'
import type { LoadEstimator } from '../load/load-estimator.js'
import type { LoadBalancingPolicy, SelectionInputs } from './load-balancing.js'

/** Part of the shortest time of service that a call to another failure domain costs, as for load per slot. */
const CROSS_DOMAIN_PENALTY = 0.3
/** Part of the time of service that a full set of slots costs: servers with free slots share the load. */
const LOAD_PENALTY = 0.1
/** Upper bound of the random part of the time of service that spreads calls over equal servers. */
const MAX_TIE_BREAK = 0.01
/** So many calls at once at the best server still find a short queue. */
const MAX_ORDERING_GATEWAYS = 4
/** Puts a full server behind all that take a request. */
const FULL_PENALTY_MS = 3_600_000
/** Stands for a time of service that nothing is known of; only ratios count then. */
const UNKNOWN_SERVICE_MS = 1

interface Expected {
  backend: Backend
  costMs: number
  /** Requests that it finishes per millisecond. */
  rate: number
}

/** What the choice depends on besides the estimates. */
export interface LeastTimeOptions {
  /** Gateways that choose by the same counts of the load exchange; 1 while it is silent. */
  informedAlike: () => number
  /** A number from 0 up to 1. */
  random?: () => number
  now?: () => number
}

/** For plain services: the lowest expected time. */
export class LeastTimePolicy implements LoadBalancingPolicy {
  private readonly random: () => number
  private readonly now: () => number

  constructor(private readonly ejection: EjectionPolicy, private readonly estimator: LoadEstimator, private readonly options: LeastTimeOptions) {
    this.random = options.random ?? Math.random
    this.now = options.now ?? (() => performance.now())
  }

  order(candidates: readonly Backend[], inputs: SelectionInputs): Backend[] {
    const now = this.now()
    const expected = this.expect(this.ejection.filter(candidates), inputs, now).sort((left, right) => left.costMs - right.costMs)
    if (this.options.informedAlike() > MAX_ORDERING_GATEWAYS)
      moveToFront(expected, this.drawBetter(expected))
    return expected.map(({ backend }) => backend)
  }

  private expect(backends: readonly Backend[], { failureDomain }: SelectionInputs, now: number): Expected[] {
    const estimates = backends.map(backend => this.estimator.estimate(backend, now))
    const shortestMs = Math.min(...estimates.map(({ serviceMs }) => serviceMs ?? UNKNOWN_SERVICE_MS))
    return backends.map((backend, index) => {
      const { requests, slots, serviceMs = UNKNOWN_SERVICE_MS, waitMs, isFull } = estimates[index]
      const queueMs = waitMs ?? Math.max(0, requests + 1 - slots) * serviceMs / slots
      const domainMs = backend.failureDomain === failureDomain ? 0 : CROSS_DOMAIN_PENALTY * shortestMs
      const costMs = queueMs + serviceMs * (1 + LOAD_PENALTY * requests / slots + this.random() * MAX_TIE_BREAK) + domainMs
      return { backend, costMs: isFull ? costMs + FULL_PENALTY_MS : costMs, rate: isFull ? 0 : slots / serviceMs }
    })
  }

  /** The index of the better one of two that are drawn with probabilities in proportion to their speed. */
  private drawBetter(expected: readonly Expected[]): number {
    const first = this.draw(expected, -1)
    return expected.length > 1 ? Math.min(first, this.draw(expected, first)) : first
  }

  private draw(expected: readonly Expected[], excluded: number): number {
    const rates = expected.map(({ rate }, index) => index === excluded ? 0 : rate)
    let left = this.random() * rates.reduce((sum, rate) => sum + rate, 0)
    return Math.max(0, rates.findIndex(rate => (left -= rate) < 0))
  }
}

function moveToFront<Item>(items: Item[], index: number): void {
  if (index > 0)
    items.unshift(...items.splice(index, 1))
}
