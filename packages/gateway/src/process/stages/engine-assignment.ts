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
const TOKEN_COST_MS = 0.08
/**
 * Share that counts of the tokens that the home of a prompt lacks, as far as is
 * known here: it may have read them for an earlier coordinator, or longer ago.
 */
const HOME_MISSING_SHARE = 0.5
/** Bytes from another failure domain that weigh as much as a millisecond. */
const CROSSING_BYTES_PER_MS = 40_000
/**
 * Milliseconds for which an engine counts as keeping a part that it was
 * assigned.
 */
const PART_LIFETIME_MS = 20_000
/** Milliseconds that a token takes at an engine of which nothing was measured. */
const FIRST_TOKEN_MS = 0.026
/** Bounds of a measured time for each token, over FIRST_TOKEN_MS. They keep one odd request from deciding for long. */
const MAX_SLOWNESS = 20
/** See MAX_SLOWNESS. */
const MIN_SLOWNESS = 0.5
/** Weight of the newest long request in the measured time. Half notices a slowed engine late. */
const SPEED_WEIGHT = 0.2
/**
 * Tokens from which on a request has its full weight: the time of a short one
 * says little of the engine's, since most of it does not depend on the prompt.
 */
const FULL_WEIGHT_TOKENS = 4000
/**
 * Milliseconds of an answer's first event that do not depend on the prompt:
 * fetch, connection, first step.
 */
const FIXED_MS = 50
/** Milliseconds after which an assigned request counts as read whatever is known of it. Far above a usual first event. */
const MAX_READING_MS = 3000

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
export interface ExpectedReading {
  engine: Backend
  /** Milliseconds from the call to the first event, by estimate. */
  firstEventMs: number
}

/** What it would cost that an engine reads a request. */
interface EngineCost extends ExpectedReading {
  /** Tokens of shared parts that it would have to read. */
  missingTokens: number
  /** Milliseconds, by estimate. */
  costMs: number
}

/** What is known of one engine. */
class EngineState {
  tokensToRead = 0
  tokenMs = FIRST_TOKEN_MS
  /** When each shared part was last assigned here, on the process clock in milliseconds; the longest ago comes first. */
  private readonly parts = new Map<string, number>()

  /** A shared part is assigned. */
  keep(part: string, now: number): void {
    this.parts.delete(part)
    this.parts.set(part, now)
  }

  keeps(part: string, now: number): boolean {
    return now - (this.parts.get(part) ?? Number.NEGATIVE_INFINITY) <= PART_LIFETIME_MS
  }

  /** Forgets parts that are no longer kept. */
  expire(now: number): void {
    for (const part of this.parts.keys()) {
      if (this.keeps(part, now))
        return
      this.parts.delete(part)
    }
  }

  /** A request's first event came after a time in milliseconds. */
  measure(tookMs: number, tokens: number): void {
    const measured = Math.max(0, tookMs - FIXED_MS) / Math.max(1, tokens)
    const bounded = Math.min(MAX_SLOWNESS * FIRST_TOKEN_MS, Math.max(MIN_SLOWNESS * FIRST_TOKEN_MS, measured))
    this.tokenMs += (bounded - this.tokenMs) * SPEED_WEIGHT * Math.min(1, tokens / FULL_WEIGHT_TOKENS)
  }
}

/** Assigns engines and follows what they still have to read. */
export class EngineAssignments {
  private readonly engines = new Map<string, EngineState>()
  private readonly assignments = new Map<string, Assignment>()

  /** The engine that would be assigned; undefined where there is none. */
  choose(request: EngineRequest, engines: readonly Backend[], now: number): ExpectedReading | undefined {
    return this.findCheapest(request, engines, now)
  }

  /** Assigns an engine; undefined where there is none. */
  assign(request: EngineRequest, engines: readonly Backend[], now: number): Backend | undefined {
    this.expire(now)
    const cheapest = this.findCheapest(request, engines, now)
    if (!cheapest)
      return undefined
    const { engine, missingTokens } = cheapest
    const state = this.stateOf(engine)
    const tokens = ownTokens(request.prompt) + missingTokens
    this.assignments.set(request.requestId, { engine: state, tokens, tokensAhead: state.tokensToRead, assignedAt: now })
    state.tokensToRead += tokens
    state.expire(now)
    for (const part of sharedParts(request.prompt))
      state.keep(part.id, now)
    return engine
  }

  /** Forgets an engine that was removed. */
  forget(engineId: string): void {
    this.engines.delete(engineId)
  }

  /** The engine of a request has read its results, or will not. */
  release(requestId: string, now: number): void {
    const assignment = this.take(requestId)
    if (assignment)
      assignment.engine.measure(now - assignment.assignedAt, assignment.tokens + assignment.tokensAhead)
  }

  private take(requestId: string): Assignment | undefined {
    const assignment = this.assignments.get(requestId)
    this.assignments.delete(requestId)
    if (assignment)
      assignment.engine.tokensToRead -= assignment.tokens
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
    const { tokensToRead, tokenMs } = this.stateOf(engine)
    const missingTokens = this.missingTokens(prompt, engine, isHome, now)
    const readMs = (tokensToRead + ownTokens(prompt) + missingTokens) * tokenMs
    const crossingMs = engine.failureDomain === failureDomain ? 0 : bytes / CROSSING_BYTES_PER_MS
    return { engine, missingTokens, firstEventMs: FIXED_MS + readMs, costMs: readMs + missingTokens * TOKEN_COST_MS + crossingMs }
  }

  /** Tokens of shared parts that an engine has to read, by what it was assigned; a part is of use only behind all before it. */
  private missingTokens(prompt: readonly PromptPart[], engine: Backend, isHome: boolean, now: number): number {
    const state = this.stateOf(engine)
    const shared = sharedParts(prompt)
    const firstMissing = shared.findIndex(part => !state.keeps(part.id, now))
    const tokens = firstMissing === -1 ? 0 : countTokens(shared.slice(firstMissing))
    return isHome ? tokens * HOME_MISSING_SHARE : tokens
  }

  private stateOf(engine: Backend): EngineState {
    const state = this.engines.get(engine.id) ?? new EngineState()
    this.engines.set(engine.id, state)
    return state
  }

  private expire(now: number): void {
    for (const [requestId, { assignedAt }] of this.assignments) {
      if (now - assignedAt < MAX_READING_MS)
        return
      this.take(requestId)
    }
  }
}

function ownTokens(prompt: readonly PromptPart[]): number {
  return prompt.at(-1)?.tokens ?? 0
}
