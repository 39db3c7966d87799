/**
 * Decides how much longer prompts take at a model engine than at the other engines
 * of its service.
 *
 * Load: engines that differ in speed, for good or for some hundred ms; a long
 * prompt at a slow one holds up everything that runs there.
 * Inputs: time of each own call to its first event (ms), the tokens of its prompt
 * and the requests expected there at its start, as of the event; the slowness that
 * the engine reported (as old as its latest response); the median of the service.
 * Rule: a moving average of measured over predicted time, divided by the slowness
 * then and by the median of the service, multiplied by the slowness now. Long
 * prompts weigh more. Without samples, it approaches the reported slowness.
 * Why: only the ratio to the other engines counts in a choice, so that what the
 * prediction leaves out of all of them cancels out.
 * Log event: `route` (`slowness`).
 */
import type { FirstEventSample } from './load-estimator.js'

/** Time to the first event that does not depend on the prompt: connection set-up, first step. */
const FIXED_MS = 50
/** Usual time of a token; shared parts are often cached, which counts at all engines alike. */
const TOKEN_MS = 0.026
/** Usual delay by each request that is there. */
const REQUEST_MS = 8
/** Weight of the newest long prompt in the average; high enough to detect a slowed engine soon. */
const WEIGHT = 0.2
/** Tokens from which on a prompt has its full weight: most of the time of a short one does not depend on it. */
const FULL_WEIGHT_TOKENS = 4000
/** Bounds of the measured ratio, so that one outlier does not dominate the average. */
const MAX_RATIO = 20
/** See MAX_RATIO. */
const MIN_RATIO = 0.5
/** In this time without a sample, half of the difference is forgotten: a recovery is to be found within seconds. */
const HALF_LIFE_MS = 3000

/** Measured over predicted time to the first event, at usual speed. */
export function measureRatio({ tookMs, tokens, estimate }: FirstEventSample, slowness: number): number {
  const predictedMs = FIXED_MS + TOKEN_MS * tokens + REQUEST_MS * estimate.requests
  return tookMs / predictedMs / slowness
}

/** The speed of one engine with prompts. */
export class PromptSpeed {
  /** Ratio to the median of the service. */
  private ratio = 1
  private sampledAt = Number.NEGATIVE_INFINITY

  /** Records a ratio to the median of the service. */
  record(ratio: number, tokens: number, now: number): void {
    const bounded = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio))
    const current = this.slowdown(now)
    this.ratio = current + (bounded - current) * WEIGHT * Math.min(1, tokens / FULL_WEIGHT_TOKENS)
    this.sampledAt = now
  }

  /** Slowdown over the other engines at the same reported slowness. */
  slowdown(now: number): number {
    return 1 + (this.ratio - 1) * 0.5 ** ((now - this.sampledAt) / HALF_LIFE_MS)
  }
}
