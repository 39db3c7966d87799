/**
 * Decides on which backend server one stage call runs.
 *
 * Inputs: the candidates in force, not ejected and not tried by this stage; of
 * each its newest load report (from its last reply or heartbeat, or none),
 * this entry's calls under way there and those sent since the report; the
 * call's priority, the entry's failure domain, a key of the prompt's beginning.
 * Rule (`predicted`): of the candidate that the key prefers and two random
 * ones, the one that is predicted to finish first. The prediction is the wait
 * for a slot, behind what goes before at this priority, and the mean service
 * time, less a saving for the preferred one, plus a crossing of domains.
 * Why: a choice among all by the newest report sends every entry to the same
 * server until the next report; random ones spread them. The preferred one is
 * always compared, because it is the likeliest to hold the prompt's prefix.
 * Log event: `choose`.
 */
import type { Load } from '../../connection/messages.js'
import { createHash } from 'node:crypto'
import { Priority } from '../../version/objects.js'

/** A backend server that may take a call. */
export interface ChoiceCandidate {
  readonly backendName: string
  readonly failureDomain: string
  readonly load: Load | undefined
  /** Calls of this entry under way there. */
  readonly outstanding: number
  /** Calls of this entry sent since the newest load report. */
  readonly sentSinceReport: number
}

/** What the choice is made for. */
export interface ChoiceContext {
  priority: Priority
  failureDomain: string
  /** Requests with the same key are likely to share a prompt prefix. */
  prefixKey: string
}

/** A way to choose. */
export interface ChoicePolicy {
  /** Chooses one of one or more candidates. */
  choose: <Candidate extends ChoiceCandidate>(candidates: readonly Candidate[], context: ChoiceContext) => Candidate
}

/** Source of random numbers in [0, 1). */
export type RandomSource = () => number

/** A baseline, for the setting `choice = random`: any candidate. */
export class RandomChoice implements ChoicePolicy {
  constructor(private readonly random: RandomSource = Math.random) {}

  choose<Candidate extends ChoiceCandidate>(candidates: readonly Candidate[]): Candidate {
    return candidates[Math.floor(this.random() * candidates.length)]
  }
}

/** A baseline, for the setting `choice = round-robin`: one after the other. */
export class RoundRobinChoice implements ChoicePolicy {
  private next = 0

  choose<Candidate extends ChoiceCandidate>(candidates: readonly Candidate[]): Candidate {
    this.next = (this.next + 1) % Number.MAX_SAFE_INTEGER
    return candidates[this.next % candidates.length]
  }
}

/** Share of the service time that a warm prefix cache saves. Half leaves a warm one sooner, twice queues behind it longer. */
const PREFIX_SAVING = 0.3
/** Milliseconds, there and back, to another failure domain. Only breaks ties between servers as busy as each other. */
const CROSS_DOMAIN_MS = 1
/** Milliseconds, before anything ran. Half or twice only matters until the first load report with a call. */
const UNKNOWN_SERVICE_MS = 10

/** Two random candidates and the one with the likeliest warm cache, by predicted finish. */
export class PredictedChoice implements ChoicePolicy {
  constructor(private readonly random: RandomSource = Math.random) {}

  choose<Candidate extends ChoiceCandidate>(candidates: readonly Candidate[], context: ChoiceContext): Candidate {
    const warm = preferByHash(candidates, context.prefixKey)
    const sampled = [warm, this.draw(candidates), this.draw(candidates)]
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

  private draw<Candidate>(candidates: readonly Candidate[]): Candidate {
    return candidates[Math.floor(this.random() * candidates.length)]
  }
}

/** Predicted time until a call sent now would finish, in milliseconds. */
export function predictFinishMs(candidate: ChoiceCandidate, context: ChoiceContext, warm: boolean): number {
  const serviceMs = candidate.load?.meanServiceMs || UNKNOWN_SERVICE_MS
  const ownMs = warm ? serviceMs * (1 - PREFIX_SAVING) : serviceMs
  const crossMs = candidate.failureDomain === context.failureDomain ? 0 : CROSS_DOMAIN_MS
  return predictWaitMs(candidate, context.priority) + ownMs + crossMs
}

/** Predicted wait for a slot, in milliseconds. */
export function predictWaitMs(candidate: ChoiceCandidate, priority: Priority): number {
  const { load } = candidate
  if (!load)
    return candidate.outstanding * UNKNOWN_SERVICE_MS
  const reported = load.running + countAhead(load, priority) + candidate.sentSinceReport
  const ahead = Math.max(reported, candidate.outstanding)
  if (ahead < load.slots)
    return 0
  return ((ahead - load.slots + 1) / load.slots) * (load.meanServiceMs || UNKNOWN_SERVICE_MS)
}

/** Waiting calls that go before a call of a priority. */
function countAhead(load: Load, priority: Priority): number {
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

/** The candidate with the highest hash for a key: stable while candidates come and go (rendezvous hashing). */
export function preferByHash<Candidate extends { backendName: string }>(candidates: readonly Candidate[], key: string): Candidate {
  const rank = (candidate: Candidate): number => rendezvousHash(candidate.backendName, key)
  return candidates.reduce((best, candidate) => rank(candidate) > rank(best) ? candidate : best)
}

/** Hash of a name for a key, for rendezvous hashing. */
export function rendezvousHash(name: string, key: string): number {
  return createHash('sha1').update(`${name}\0${key}`).digest().readUInt32BE(0)
}
