/**
 * Decides the order in which backend servers are tried for a request.
 *
 * Inputs: the backend servers of the service that accept work and were not tried
 * yet; this process's calls in flight at each (current); the load that each
 * reported with a response (load-estimator.ts); for model engines also
 * the prompt's parts (tokens) and the stage results to fetch (bytes).
 * Rule: lowest predicted cost first. Plain services: load per slot, plus a
 * penalty for another failure domain. Model engines, in milliseconds: shared
 * prompt tokens to process again, requests in progress there, bytes to fetch
 * from another failure domain; times what prompts take at the engine over what
 * they usually take, and each request there counts more for a long prompt.
 * Why: backend servers cache the prompt parts that requests share. Rendezvous
 * hashing maps each shared part to one server, so that all gateways agree without
 * exchanging messages; the load term still moves requests away from a busy server.
 * Log event: `route`.
 */
import type { EjectionPolicy } from '@eidermast/common'
import type { Backend } from '../../connection/backends/backend.js'
import type { PromptPart } from '../../connection/clients/client-codec.js'
import type { LoadEstimator } from '../load/load-estimator.js'
import { ReportedLoadEstimator } from '../load/load-estimator.js'
import { countTokens, findPreferredEngine, HELD_UP_SHARE, sharedParts } from '../prompt-parts.js'

/** The request properties that selection depends on. */
export interface SelectionInputs {
  /** Parts of the prompt in order; the last one is specific to the request. */
  promptParts: readonly PromptPart[]
  /** Failure domain of the caller, or the one that holds most of the data that the backend server fetches. */
  failureDomain: string
  /** Bytes that the backend server fetches from that failure domain. */
  bytes: number
}

/** A load balancing policy. */
export interface LoadBalancingPolicy {
  /** The candidates that are not ejected, in order of preference; empty if there are none. */
  order: (candidates: readonly Backend[], inputs: SelectionInputs) => Backend[]
}

/**
 * Load per slot that a call to another failure domain costs. Avoids cross-domain
 * calls for small differences in load, without filling the own domain first.
 */
const CROSS_DOMAIN_PENALTY_LOAD = 0.3
/** Puts a full server behind all that take a request. */
const FULL_PENALTY_LOAD = 1000
/**
 * Upper bound of the random load per slot that spreads the calls of several
 * gateways over equally loaded servers. Must be less than the load of one call.
 */
const MAX_TIE_BREAK_LOAD = 0.01

/** For plain services: the lowest load per slot, with a preference for the own failure domain. */
export class LeastLoadPolicy implements LoadBalancingPolicy {
  constructor(private readonly ejection: EjectionPolicy, private readonly estimator: LoadEstimator = new ReportedLoadEstimator()) {}

  order(candidates: readonly Backend[], inputs: SelectionInputs): Backend[] {
    const now = performance.now()
    return orderByCost(this.ejection.filter(candidates), backend => this.cost(backend, inputs, now))
  }

  private cost(backend: Backend, inputs: SelectionInputs, now: number): number {
    const { requests, slots, isFull } = this.estimator.estimate(backend, now)
    const domainPenalty = backend.failureDomain === inputs.failureDomain ? 0 : CROSS_DOMAIN_PENALTY_LOAD
    const fullPenalty = isFull ? FULL_PENALTY_LOAD : 0
    return requests / slots + fullPenalty + domainPenalty + Math.random() * MAX_TIE_BREAK_LOAD
  }
}

/**
 * Cost of a prompt token that is not cached. Well above the processing time of
 * a token, because processing also delays the server's other requests.
 */
const UNCACHED_TOKEN_COST_MS = 0.05
/**
 * Cost of each other request in progress. Moves requests with a shared prompt away
 * from busy servers, without scattering them over all servers.
 */
const REQUEST_COST_MS = 8
/**
 * Bytes from another failure domain that cost one millisecond. Avoids transfers
 * for small differences in load, but does not send requests to busy servers to
 * save a transfer.
 */
const CROSS_DOMAIN_BYTES_PER_MS = 40_000

/** For model engines: cached prompt parts, load, and bytes from other failure domains. */
export class PrefixAwarePolicy implements LoadBalancingPolicy {
  /** `weighsHeldUp`: whether each request there counts more for a long prompt, which delays it. */
  constructor(
    private readonly ejection: EjectionPolicy,
    private readonly estimator: LoadEstimator = new ReportedLoadEstimator(),
    private readonly weighsHeldUp = false,
  ) {}

  order(candidates: readonly Backend[], inputs: SelectionInputs): Backend[] {
    const now = performance.now()
    const usable = this.ejection.filter(candidates)
    const ownTokens = inputs.promptParts.at(-1)?.tokens ?? 0
    const sharedTokens = countTokens(sharedParts(inputs.promptParts))
    const preferred = findPreferredEngine(inputs.promptParts, usable)
    return orderByCost(usable, (backend) => {
      const uncachedTokens = backend === preferred ? 0 : sharedTokens
      const slowdown = this.estimator.promptSlowdown(backend, now)
      const { requests } = this.estimator.estimate(backend, now)
      const promptMs = (ownTokens + uncachedTokens) * UNCACHED_TOKEN_COST_MS * slowdown
      const transferMs = backend.failureDomain === inputs.failureDomain ? 0 : inputs.bytes / CROSS_DOMAIN_BYTES_PER_MS
      const heldUpMs = this.weighsHeldUp ? promptMs * HELD_UP_SHARE : 0
      return promptMs + transferMs + requests * (REQUEST_COST_MS * slowdown + heldUpMs)
    })
  }
}

function orderByCost(backends: readonly Backend[], costOf: (backend: Backend) => number): Backend[] {
  return backends
    .map(backend => ({ backend, cost: costOf(backend) }))
    .sort((left, right) => left.cost - right.cost)
    .map(entry => entry.backend)
}
