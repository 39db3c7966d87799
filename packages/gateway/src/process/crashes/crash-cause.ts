/**
 * Decides which requests are refused because requests like them crash the backend
 * servers that run them: those that hold everything that a series of crashes has
 * in common.
 *
 * Inputs: the counted crashes of each fingerprint against which there is enough
 * evidence (`quarantine.ts`), current.
 * Rule: the fingerprint with the most crashes that no other cause explains is a
 * cause, together with all that were present at the same crashes; it explains
 * these. This is repeated while enough unexplained crashes are left.
 * Why: what runs beside the cause is present at some of its crashes, and needs
 * crashes of its own to be suspected. Fingerprints that were always present
 * together cannot be told apart, so that only requests with all of them are known
 * to crash; the next crash by a request with one of them tells which it is.
 * Refusing each of them would refuse the sound requests of a client account whose
 * first part the cause shares. Likelihoods of each part give the same order where
 * a cause is never answered, and need rates that are not known after a restart.
 * Log events: `quarantine`, `quarantine-ended`.
 */
import type { CrashReport } from './crash-report.js'
import { areEnough } from './quarantine.js'

/** What a series of crashes has in common. */
export interface CrashCause {
  /** A request is refused if it has all of them; sorted. */
  fingerprints: readonly string[]
  /** One for each incarnation of a backend server. */
  crashes: readonly CrashReport[]
}

/** The counted crashes of one fingerprint. */
export interface CrashCandidate {
  fingerprint: string
  crashes: readonly CrashReport[]
}

/** Finds the causes among the candidates; the one that explains the most crashes first. */
export function findCauses(candidates: readonly CrashCandidate[]): CrashCause[] {
  const causes: CrashCause[] = []
  const explained = new Set<string>()
  const isUnexplained = ({ backend }: CrashReport): boolean => !explained.has(backend)
  const ranked = candidates.toSorted((a, b) => b.crashes.length - a.crashes.length || compare(a.fingerprint, b.fingerprint))
  for (const { crashes } of ranked) {
    if (!areEnough(crashes.filter(isUnexplained)))
      continue
    const fingerprints = candidates.filter(other => coversAll(other, crashes)).map(({ fingerprint }) => fingerprint)
    causes.push({ fingerprints: fingerprints.sort(compare), crashes })
    crashes.forEach(({ backend }) => explained.add(backend))
  }
  return causes
}

/** Whether a request with these fingerprints is refused for the cause. */
export function isCause(cause: CrashCause, fingerprints: readonly string[]): boolean {
  return cause.fingerprints.every(fingerprint => fingerprints.includes(fingerprint))
}

function coversAll(candidate: CrashCandidate, crashes: readonly CrashReport[]): boolean {
  const backends = new Set(candidate.crashes.map(({ backend }) => backend))
  return crashes.every(({ backend }) => backends.has(backend))
}

function compare(left: string, right: string): number {
  return left < right ? -1 : Number(left > right)
}
