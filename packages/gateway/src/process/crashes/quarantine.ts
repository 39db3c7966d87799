/**
 * Decides whether crashes of backend servers are evidence against a fingerprint,
 * that of a whole request or of a part of its prompt.
 *
 * Inputs: the crashes during requests with the fingerprint and the latest answer
 * to one, as reported by all gateways (epoch ms; at most a second old if the
 * platform's store answers), and the current time (epoch ms).
 * Rule: it is a candidate from MIN_QUARANTINE_CRASHES crashes on, of distinct
 * incarnations of backend servers, each within the last CRASH_RETENTION_MS. A
 * crash does not count if such a request was answered later, or shortly before.
 * For a part, crashes at the same moment count once. Which candidates are causes
 * is decided in `crash-cause.ts`.
 * Why: all requests that were running on a backend server when it crashed look
 * alike. What causes crashes is present at each of them, and is never answered;
 * an unrelated request is present at one crash, or at two by chance, and is
 * answered in between. Many requests may share a fingerprint: when a failure
 * domain with its backend servers goes down, several of them are in flight there
 * at once, and others like them were answered elsewhere just before. A part may
 * be held by most requests of a service, so that its evidence has to be stronger.
 * Log events: `quarantine`, `quarantine-ended`, `request-ended` (`outcome`,
 * `reason`).
 */
import type { CrashReport } from './crash-report.js'
import { isPartFingerprint } from '../../request/request-fingerprint.js'

/**
 * Crashes for a quarantine. A request may be present at two crashes by chance,
 * and its client's retry must not be refused; each crash costs a backend server,
 * with all its requests, for some seconds.
 */
export const MIN_QUARANTINE_CRASHES = 3
/**
 * Time for which a crash counts. A request that is retried forever costs three
 * backend servers an hour; after a fix of the backend server, the request is
 * accepted again within an hour.
 */
export const CRASH_RETENTION_MS = 3_600_000

/** What evidence against a kind of fingerprint takes. */
interface EvidenceRule {
  /**
   * How long (ms) before a crash an answer still clears it. Longer than the duration of
   * requests that may share a fingerprint, and than the clock skew between VMs;
   * shorter than an update of the backend servers, after which a request that used
   * to be answered may crash them.
   */
  answerClearsMs: number
  /** Crashes that are closer together (ms) count once; 0 counts each. */
  momentMs: number
}

/** Requests with this fingerprint are identical. */
const REQUEST_RULE: EvidenceRule = { answerClearsMs: 10_000, momentMs: 0 }
/** A part is held by different requests: some are rare, and many run on the backend servers that a fault ends together. */
const PART_RULE: EvidenceRule = { answerClearsMs: 60_000, momentMs: 400 }

/** What is known about requests with one fingerprint. */
export interface FingerprintHistory {
  /** One crash for each incarnation of a backend server. */
  crashes: readonly CrashReport[]
  /** When one was last answered, in epoch milliseconds; absent if none was. */
  answeredAt?: number
}

/** Whether an answer at the given time (epoch milliseconds) shows that such requests did not cause a crash. */
export function isClearedByAnswer({ at, fingerprint }: CrashReport, answeredAt: number | undefined): boolean {
  return answeredAt !== undefined && at <= answeredAt + ruleFor(fingerprint).answerClearsMs
}

/** The crashes that count as evidence. */
export function countedCrashes({ crashes, answeredAt }: FingerprintHistory, now: number): CrashReport[] {
  return crashes.filter(crash => !isClearedByAnswer(crash, answeredAt) && now - crash.at < CRASH_RETENTION_MS)
}

/** Whether these counted crashes of one fingerprint are enough evidence. */
export function areEnough(crashes: readonly CrashReport[]): boolean {
  return crashes.length >= MIN_QUARANTINE_CRASHES && countMoments(crashes) >= MIN_QUARANTINE_CRASHES
}

/** Whether there is enough evidence against requests with the fingerprint. */
export function isQuarantined(history: FingerprintHistory, now: number): boolean {
  return areEnough(countedCrashes(history, now))
}

function ruleFor(fingerprint: string): EvidenceRule {
  return isPartFingerprint(fingerprint) ? PART_RULE : REQUEST_RULE
}

/** Number of crashes, with those at the same moment counted once where the kind of fingerprint asks for it. */
function countMoments(crashes: readonly CrashReport[]): number {
  let moments = 0
  let momentAt = Number.NEGATIVE_INFINITY
  for (const { at, fingerprint } of crashes.toSorted((a, b) => a.at - b.at)) {
    if (at - momentAt < ruleFor(fingerprint).momentMs)
      continue
    moments++
    momentAt = at
  }
  return moments
}
