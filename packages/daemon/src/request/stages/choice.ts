/**
 * Decides which backend server runs a stage call (load balancing).
 *
 * Inputs: the available candidates that are not ejected and that this stage has
 * not tried; for each candidate, its latest load report (from its last reply or
 * heartbeat, if any), this entry's outstanding calls to it and the calls sent
 * since that report; the priority of the call, the failure domain of the entry
 * and a key derived from the start of the prompt.
 *
 * The `predicted` policy compares the candidate selected by rendezvous hashing
 * of the prefix key with two random candidates and picks the one with the
 * earliest predicted finish. The prediction adds the queueing delay at the
 * call's priority, the mean service time (reduced for the hashed candidate) and
 * the latency of crossing failure domains.
 *
 * Picking the best of all candidates by their latest reports would send the
 * calls of every entry to the same server until the next report; random sampling
 * spreads them. The hashed candidate is always included because it is the most
 * likely to have the prompt prefix cached.
 *
 * Log event: `choose`.
 */
import type { Load } from '../../connection/messages.js'
import { createHash } from 'node:crypto'
import { Priority } from '../../version/objects.js'

/** A backend server that a call can be sent to. */
export interface ChoiceCandidate {
  readonly backendName: string
  readonly failureDomain: string
  readonly load: Load | undefined
  /** Calls from this entry that have not been answered. */
  readonly outstanding: number
  /** Calls from this entry since the latest load report. */
  readonly sentSinceReport: number
}

/** Properties of the call for which a backend server is selected. */
export interface ChoiceContext {
  priority: Priority
  failureDomain: string
  /** Requests with the same key are likely to share a prompt prefix. */
  prefixKey: string
}

/** Load-balancing policy. */
export interface ChoicePolicy {
  /** Selects one candidate from a non-empty list. */
  choose: <Candidate extends ChoiceCandidate>(candidates: readonly Candidate[], context: ChoiceContext) => Candidate
}

/** Returns a random number in [0, 1). */
export type RandomSource = () => number

/** Uniformly random selection (setting `choice = random`), a baseline for comparison. */
export class RandomChoice implements ChoicePolicy {
  constructor(private readonly random: RandomSource = Math.random) {}

  choose<Candidate extends ChoiceCandidate>(candidates: readonly Candidate[]): Candidate {
    return candidates[Math.floor(this.random() * candidates.length)]
  }
}

/** Round-robin selection (setting `choice = round-robin`), a baseline for comparison. */
export class RoundRobinChoice implements ChoicePolicy {
  private next = 0

  choose<Candidate extends ChoiceCandidate>(candidates: readonly Candidate[]): Candidate {
    this.next = (this.next + 1) % Number.MAX_SAFE_INTEGER
    return candidates[this.next % candidates.length]
  }
}

/**
 * Fraction of the service time assumed to be saved by a warm prefix cache. Determines how much
 * longer a call may queue at a warm server than at another one.
 */
const WARM_CACHE_SAVING = 0.3
/** Round-trip time to another failure domain. Only breaks ties between equally loaded servers. */
const CROSS_DOMAIN_RTT_MS = 1
/** Service time assumed until a load report includes a completed call. */
const DEFAULT_SERVICE_MS = 10

/** Selects the earliest predicted finish among two random candidates and the one most likely to have a warm cache. */
export class PredictedChoice implements ChoicePolicy {
  constructor(private readonly random: RandomSource = Math.random) {}

  choose<Candidate extends ChoiceCandidate>(candidates: readonly Candidate[], context: ChoiceContext): Candidate {
    const warm = selectByRendezvousHash(candidates, context.prefixKey)
    const sampled = [warm, this.pickRandom(candidates), this.pickRandom(candidates)]
    let best = warm
    let bestMs = Number.POSITIVE_INFINITY
    for (const candidate of sampled) {
      const finishMs = predictFinishMs(candidate, context, candidate === warm)
      if (finishMs < bestMs) {
        best = candidate
        bestMs = finishMs
      }
    }
    return best
  }

  private pickRandom<Candidate>(candidates: readonly Candidate[]): Candidate {
    return candidates[Math.floor(this.random() * candidates.length)]
  }
}

/** Predicted milliseconds until a call that is sent now finishes. */
export function predictFinishMs(candidate: ChoiceCandidate, context: ChoiceContext, warm: boolean): number {
  const serviceMs = candidate.load?.meanServiceMs || DEFAULT_SERVICE_MS
  const effectiveServiceMs = warm ? serviceMs * (1 - WARM_CACHE_SAVING) : serviceMs
  const crossDomainMs = candidate.failureDomain === context.failureDomain ? 0 : CROSS_DOMAIN_RTT_MS
  return predictWaitMs(candidate, context.priority) + effectiveServiceMs + crossDomainMs
}

/** Predicted milliseconds until a call gets a slot. */
export function predictWaitMs(candidate: ChoiceCandidate, priority: Priority): number {
  const { load } = candidate
  if (!load)
    return candidate.outstanding * DEFAULT_SERVICE_MS
  const reported = load.running + countQueuedAhead(load, priority) + candidate.sentSinceReport
  const ahead = Math.max(reported, candidate.outstanding)
  if (ahead < load.slots)
    return 0
  return ((ahead - load.slots + 1) / load.slots) * (load.meanServiceMs || DEFAULT_SERVICE_MS)
}

/** Number of queued calls that run before a new call of the given priority. */
function countQueuedAhead(load: Load, priority: Priority): number {
  const { queued } = load
  switch (priority) {
    case Priority.High:
      return queued.high
    case Priority.Normal:
      return queued.high + queued.normal
    case Priority.Low:
      return queued.high + queued.normal + queued.low
  }
}

/** Selects a candidate by rendezvous hashing, so that few keys move when candidates are added or removed. */
export function selectByRendezvousHash<Candidate extends { backendName: string }>(candidates: readonly Candidate[], key: string): Candidate {
  const score = (candidate: Candidate): number => rendezvousHash(candidate.backendName, key)
  return candidates.reduce((best, candidate) => score(candidate) > score(best) ? candidate : best)
}

/** Rendezvous score of a name for a key. */
export function rendezvousHash(name: string, key: string): number {
  return createHash('sha1').update(`${name}\0${key}`).digest().readUInt32BE(0)
}
