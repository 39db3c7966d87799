/**
 * Decides which model engine reads the results of a request's stages.
 *
 * Inputs: the engines that accept work; the prompt tokens assigned to each of
 * them and not yet prefilled (of all gateways, since their stages run here), and
 * the measured prefill time per token, times the slowdown of the engine at the
 * moment if it is known; which shared prompt parts were recently
 * assigned to each engine; the failure domain and size (bytes) of the results.
 * Rule: the lowest sum of the expected prefill time of the pending tokens and
 * this prompt, a part of this prompt's for each request that waits there (if
 * slowdowns are known), RECOMPUTE_COST_MS_PER_TOKEN for its uncached shared parts, and the
 * cost of bytes that cross failure domains.
 * Why: a long prompt delays everything queued behind it at its engine, by up to a
 * second, and the results of waiting requests use memory meanwhile. A single
 * gateway sees only its own requests, and load reports are older than such a
 * delay.
 * Log event: `route` (backend).
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { PromptPart } from '../../connection/clients/client-codec.js'
import type { BackendSlowdowns } from '../../request/load/load-estimator.js'
import { NO_SLOWDOWNS } from '../../request/load/load-estimator.js'
import { countTokens, findPreferredEngine, HELD_UP_SHARE, sharedParts } from '../../request/prompt-parts.js'

/** Additional cost of an uncached token of a shared part: recomputing it takes engine time from other requests. */
const RECOMPUTE_COST_MS_PER_TOKEN = 0.08
/**
 * Share of the uncached tokens that counts at the preferred engine of a prompt, which
 * may have them cached from an earlier coordinator or from longer ago.
 */
const PREFERRED_UNCACHED_SHARE = 0.5
/** Cross-domain bytes that cost as much as one millisecond. */
const CROSS_DOMAIN_BYTES_PER_MS = 40_000
/** How long a part counts as cached after it was assigned to an engine. */
const PART_CACHE_LIFETIME_MS = 20_000
/** Prefill time per token of an engine without measurements. */
const INITIAL_MS_PER_TOKEN = 0.026
/** Bounds of the measured time per token over INITIAL_MS_PER_TOKEN, so that one outlier does not dominate the average. */
const MAX_SLOWDOWN = 20
/** See MAX_SLOWDOWN. */
const MIN_SLOWDOWN = 0.5
/** Weight of the newest long request in the measured time per token; high enough to detect a slowed engine soon. */
const SPEED_EWMA_WEIGHT = 0.2
/**
 * Tokens from which on a request has its full weight: most of the time of a
 * short request does not depend on its prompt.
 */
const FULL_WEIGHT_TOKENS = 4000
/** Time to the first event that does not depend on the prompt: fetch, connection set-up, first step. */
const FIXED_OVERHEAD_MS = 50
/** After this time an assigned request counts as prefilled in any case. Far above a typical time to the first event. */
const MAX_PREFILL_MS = 3000

/** A request that needs an engine. */
export interface EngineRequest {
  requestId: string
  /** Parts of the prompt in order; the last one is specific to the request. */
  prompt: readonly PromptPart[]
  /** Failure domain that holds most of its results. */
  failureDomain: string
  /** Size of its results, in bytes. */
  bytes: number
}

interface Assignment {
  engine: EngineState
  backend: Backend
  /** Estimated number of tokens to prefill. */
  tokens: number
  /** Pending tokens of the engine at the time of the assignment. */
  tokensAhead: number
  assignedAt: number
}

/** The best engine for a request, and its expected time to the first event. */
export interface ExpectedPrefill {
  engine: Backend
  /** Estimated time from the call to the first event. */
  firstEventMs: number
}

/** Cost of a request at an engine. */
interface EngineCost extends ExpectedPrefill {
  /** Tokens of shared parts to prefill. */
  uncachedTokens: number
  costMs: number
}

/** State of one engine. */
class EngineState {
  pendingTokens = 0
  pendingRequests = 0
  msPerToken = INITIAL_MS_PER_TOKEN
  /** Time of the last assignment by part, in milliseconds on the monotonic clock; the oldest comes first. */
  private readonly cachedParts = new Map<string, number>()

  /** Records that a shared part was assigned. */
  markCached(part: string, now: number): void {
    this.cachedParts.delete(part)
    this.cachedParts.set(part, now)
  }

  isCached(part: string, now: number): boolean {
    return now - (this.cachedParts.get(part) ?? Number.NEGATIVE_INFINITY) <= PART_CACHE_LIFETIME_MS
  }

  /** Removes expired parts. */
  expire(now: number): void {
    for (const part of this.cachedParts.keys()) {
      if (this.isCached(part, now))
        return
      this.cachedParts.delete(part)
    }
  }

  /** Records the time to the first event of a request, given the tokens that were prefilled until then and the slowdown of the engine. */
  recordFirstEvent(tookMs: number, tokens: number, slowdown: number): void {
    const measured = Math.max(0, tookMs - FIXED_OVERHEAD_MS) / Math.max(1, tokens) / slowdown
    const bounded = Math.min(MAX_SLOWDOWN * INITIAL_MS_PER_TOKEN, Math.max(MIN_SLOWDOWN * INITIAL_MS_PER_TOKEN, measured))
    this.msPerToken += (bounded - this.msPerToken) * SPEED_EWMA_WEIGHT * Math.min(1, tokens / FULL_WEIGHT_TOKENS)
  }
}

/** Assigns engines and tracks their pending tokens. */
export class EngineAssignments {
  private readonly engines = new Map<string, EngineState>()
  private readonly assignments = new Map<string, Assignment>()
  private readonly heldUpShare: number

  constructor(private readonly slowdowns: Pick<BackendSlowdowns, 'promptSlowdown'> = NO_SLOWDOWNS) {
    this.heldUpShare = slowdowns === NO_SLOWDOWNS ? 0 : HELD_UP_SHARE
  }

  /** Returns the engine that `assign` would select; undefined if there is none. */
  choose(request: EngineRequest, engines: readonly Backend[], now: number): ExpectedPrefill | undefined {
    return this.findCheapest(request, engines, now)
  }

  /** Assigns an engine; undefined if there is none. */
  assign(request: EngineRequest, engines: readonly Backend[], now: number): Backend | undefined {
    this.expire(now)
    const cheapest = this.findCheapest(request, engines, now)
    if (!cheapest)
      return undefined
    const { engine, uncachedTokens } = cheapest
    const state = this.stateOf(engine)
    const tokens = ownTokens(request.prompt) + uncachedTokens
    this.assignments.set(request.requestId, { engine: state, backend: engine, tokens, tokensAhead: state.pendingTokens, assignedAt: now })
    state.pendingTokens += tokens
    state.pendingRequests++
    state.expire(now)
    for (const part of sharedParts(request.prompt))
      state.markCached(part.id, now)
    return engine
  }

  /** Discards the state of an engine that was removed. */
  removeEngine(engineId: string): void {
    this.engines.delete(engineId)
  }

  /** Ends an assignment: the engine has sent its first event, or the request was abandoned. */
  release(requestId: string, now: number): void {
    const assignment = this.remove(requestId)
    if (assignment)
      assignment.engine.recordFirstEvent(now - assignment.assignedAt, assignment.tokens + assignment.tokensAhead, this.slowdowns.promptSlowdown(assignment.backend, now))
  }

  private remove(requestId: string): Assignment | undefined {
    const assignment = this.assignments.get(requestId)
    this.assignments.delete(requestId)
    if (assignment) {
      assignment.engine.pendingTokens -= assignment.tokens
      assignment.engine.pendingRequests--
    }
    return assignment
  }

  private findCheapest(request: EngineRequest, engines: readonly Backend[], now: number): EngineCost | undefined {
    const preferred = findPreferredEngine(request.prompt, engines)
    let cheapest: EngineCost | undefined
    for (const engine of engines) {
      const cost = this.cost(request, engine, engine === preferred, now)
      if (!cheapest || cost.costMs < cheapest.costMs)
        cheapest = cost
    }
    return cheapest
  }

  private cost({ prompt, failureDomain, bytes }: EngineRequest, engine: Backend, isPreferred: boolean, now: number): EngineCost {
    const { pendingTokens, pendingRequests, msPerToken } = this.stateOf(engine)
    const tokenMs = msPerToken * this.slowdowns.promptSlowdown(engine, now)
    const uncachedTokens = this.uncachedTokens(prompt, engine, isPreferred, now)
    const promptMs = (ownTokens(prompt) + uncachedTokens) * tokenMs
    const prefillMs = pendingTokens * tokenMs + promptMs
    const heldUpMs = pendingRequests * promptMs * this.heldUpShare
    const transferMs = engine.failureDomain === failureDomain ? 0 : bytes / CROSS_DOMAIN_BYTES_PER_MS
    return { engine, uncachedTokens, firstEventMs: FIXED_OVERHEAD_MS + prefillMs, costMs: prefillMs + heldUpMs + uncachedTokens * RECOMPUTE_COST_MS_PER_TOKEN + transferMs }
  }

  /** Tokens of the shared parts from the first uncached one on; a cached part is only usable if all parts before it are cached too. */
  private uncachedTokens(prompt: readonly PromptPart[], engine: Backend, isPreferred: boolean, now: number): number {
    const state = this.stateOf(engine)
    const shared = sharedParts(prompt)
    const firstUncached = shared.findIndex(part => !state.isCached(part.id, now))
    const tokens = firstUncached === -1 ? 0 : countTokens(shared.slice(firstUncached))
    return isPreferred ? tokens * PREFERRED_UNCACHED_SHARE : tokens
  }

  private stateOf(engine: Backend): EngineState {
    const state = this.engines.get(engine.id) ?? new EngineState()
    this.engines.set(engine.id, state)
    return state
  }

  private expire(now: number): void {
    for (const [requestId, { assignedAt }] of this.assignments) {
      if (now - assignedAt < MAX_PREFILL_MS)
        return
      this.remove(requestId)
    }
  }
}

function ownTokens(prompt: readonly PromptPart[]): number {
  return prompt.at(-1)?.tokens ?? 0
}
