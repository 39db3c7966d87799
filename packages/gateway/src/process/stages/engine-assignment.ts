/**
 * Decides which model engine reads the results of a request's stages.
 *
 * Inputs: the engines that take work; the tokens that requests assigned to each
 * still have to read (of all gateways, known here since their stages run here),
 * and the time that a token took there; which shared prompt parts each was
 * assigned lately; where the results lie (bytes).
 * Rule: the least sum of the time until the engine has read what was assigned
 * before and this prompt, the parts that it lacks weighed with TOKEN_COST_MS
 * more, and the bytes that cross failure domains.
 * Why: a long prompt holds up everything behind it at its engine, for a second
 * at times, and the results of what waits use memory meanwhile. A gateway alone
 * sees only its own requests, and load reports are older than such a wait.
 * Log event: `route` (backend).
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { PromptPart } from '../../connection/clients/client-codec.js'
import { countTokens, findPreferredEngine, sharedParts } from '../../request/prompt-parts.js'

/**
 * Milliseconds for each token of a shared part that is read again: it takes the
 * engine's time from others too.
 */
const RECOMPUTE_COST_MS_PER_TOKEN = 0.08
/**
 * Share that counts of the tokens that the home of a prompt lacks, as far as is
 * known here: it may have read them for an earlier coordinator, or longer ago.
 */
const HOME_UNCACHED_SHARE = 0.5
/** Bytes from another failure domain that weigh as much as a millisecond. */
const CROSS_DOMAIN_BYTES_PER_MS = 40_000
/**
 * Milliseconds for which an engine counts as keeping a part that it was
 * assigned.
 */
const PART_CACHE_LIFETIME_MS = 20_000
/** Milliseconds that a token takes at an engine of which nothing was measured. */
const INITIAL_MS_PER_TOKEN = 0.026
/** Bounds of a measured time for each token, over FIRST_TOKEN_MS. They keep one odd request from deciding for long. */
const MAX_SLOWDOWN = 20
/** See MAX_SLOWNESS. */
const MIN_SLOWDOWN = 0.5
/** Weight of the newest long request in the measured time. Half notices a slowed engine late. */
const SPEED_EWMA_WEIGHT = 0.2
/**
 * Tokens from which on a request has its full weight: the time of a short one
 * says little of the engine's, since most of it does not depend on the prompt.
 */
const FULL_WEIGHT_TOKENS = 4000
/**
 * Milliseconds of an answer's first event that do not depend on the prompt:
 * fetch, connection, first step.
 */
const FIXED_OVERHEAD_MS = 50
/** Milliseconds after which an assigned request counts as read whatever is known of it. Far above a usual first event. */
const MAX_PREFILL_MS = 3000

/** A request whose engine is to be chosen. */
export interface EngineRequest {
  requestId: string
  /** Parts of the prompt in order; the last one belongs to the request itself. */
  prompt: readonly PromptPart[]
  /** Failure domain that holds most of its results. */
  failureDomain: string
  /** Size of its results, in bytes. */
  bytes: number
}

interface Assignment {
  engine: EngineState
  /** Tokens that it has to read, by estimate. */
  tokens: number
  /** Tokens that were assigned there and not read when it came. */
  tokensAhead: number
  assignedAt: number
}

/** The engine that a request would be assigned, and what is expected of it. */
export interface ExpectedPrefill {
  engine: Backend
  /** Milliseconds from the call to the first event, by estimate. */
  firstEventMs: number
}

/** What it would cost that an engine reads a request. */
interface EngineCost extends ExpectedPrefill {
  /** Tokens of shared parts that it would have to read. */
  uncachedTokens: number
  /** Milliseconds, by estimate. */
  costMs: number
}

/** What is known of one engine. */
class EngineState {
  pendingTokens = 0
  msPerToken = INITIAL_MS_PER_TOKEN
  /** When each shared part was last assigned here, on the process clock in milliseconds; the longest ago comes first. */
  private readonly cachedParts = new Map<string, number>()

  /** A shared part is assigned. */
  markCached(part: string, now: number): void {
    this.cachedParts.delete(part)
    this.cachedParts.set(part, now)
  }

  isCached(part: string, now: number): boolean {
    return now - (this.cachedParts.get(part) ?? Number.NEGATIVE_INFINITY) <= PART_CACHE_LIFETIME_MS
  }

  /** Forgets parts that are no longer kept. */
  expire(now: number): void {
    for (const part of this.cachedParts.keys()) {
      if (this.isCached(part, now))
        return
      this.cachedParts.delete(part)
    }
  }

  /** A request's first event came after a time in milliseconds. */
  recordFirstEvent(tookMs: number, tokens: number): void {
    const measured = Math.max(0, tookMs - FIXED_OVERHEAD_MS) / Math.max(1, tokens)
    const bounded = Math.min(MAX_SLOWDOWN * INITIAL_MS_PER_TOKEN, Math.max(MIN_SLOWDOWN * INITIAL_MS_PER_TOKEN, measured))
    this.msPerToken += (bounded - this.msPerToken) * SPEED_EWMA_WEIGHT * Math.min(1, tokens / FULL_WEIGHT_TOKENS)
  }
}

/** Assigns engines and follows what they still have to read. */
export class EngineAssignments {
  private readonly engines = new Map<string, EngineState>()
  private readonly assignments = new Map<string, Assignment>()

  /** The engine that would be assigned; undefined where there is none. */
  choose(request: EngineRequest, engines: readonly Backend[], now: number): ExpectedPrefill | undefined {
    return this.findCheapest(request, engines, now)
  }

  /** Assigns an engine; undefined where there is none. */
  assign(request: EngineRequest, engines: readonly Backend[], now: number): Backend | undefined {
    this.expire(now)
    const cheapest = this.findCheapest(request, engines, now)
    if (!cheapest)
      return undefined
    const { engine, uncachedTokens } = cheapest
    const state = this.stateOf(engine)
    const tokens = ownTokens(request.prompt) + uncachedTokens
    this.assignments.set(request.requestId, { engine: state, tokens, tokensAhead: state.pendingTokens, assignedAt: now })
    state.pendingTokens += tokens
    state.expire(now)
    for (const part of sharedParts(request.prompt))
      state.markCached(part.id, now)
    return engine
  }

  /** Forgets an engine that was removed. */
  removeEngine(engineId: string): void {
    this.engines.delete(engineId)
  }

  /** The engine of a request has read its results, or will not. */
  release(requestId: string, now: number): void {
    const assignment = this.remove(requestId)
    if (assignment)
      assignment.engine.recordFirstEvent(now - assignment.assignedAt, assignment.tokens + assignment.tokensAhead)
  }

  private remove(requestId: string): Assignment | undefined {
    const assignment = this.assignments.get(requestId)
    this.assignments.delete(requestId)
    if (assignment)
      assignment.engine.pendingTokens -= assignment.tokens
    return assignment
  }

  private findCheapest(request: EngineRequest, engines: readonly Backend[], now: number): EngineCost | undefined {
    const home = findPreferredEngine(request.prompt, engines)
    let cheapest: EngineCost | undefined
    for (const engine of engines) {
      const cost = this.cost(request, engine, engine === home, now)
      if (!cheapest || cost.costMs < cheapest.costMs)
        cheapest = cost
    }
    return cheapest
  }

  private cost({ prompt, failureDomain, bytes }: EngineRequest, engine: Backend, isHome: boolean, now: number): EngineCost {
    const { pendingTokens, msPerToken } = this.stateOf(engine)
    const uncachedTokens = this.uncachedTokens(prompt, engine, isHome, now)
    const prefillMs = (pendingTokens + ownTokens(prompt) + uncachedTokens) * msPerToken
    const transferMs = engine.failureDomain === failureDomain ? 0 : bytes / CROSS_DOMAIN_BYTES_PER_MS
    return { engine, uncachedTokens, firstEventMs: FIXED_OVERHEAD_MS + prefillMs, costMs: prefillMs + uncachedTokens * RECOMPUTE_COST_MS_PER_TOKEN + transferMs }
  }

  /** Tokens of shared parts that an engine has to read, by what it was assigned; a part is of use only behind all before it. */
  private uncachedTokens(prompt: readonly PromptPart[], engine: Backend, isHome: boolean, now: number): number {
    const state = this.stateOf(engine)
    const shared = sharedParts(prompt)
    const firstUncached = shared.findIndex(part => !state.isCached(part.id, now))
    const tokens = firstUncached === -1 ? 0 : countTokens(shared.slice(firstUncached))
    return isHome ? tokens * HOME_UNCACHED_SHARE : tokens
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
