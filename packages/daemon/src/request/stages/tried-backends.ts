/**
 * Decides which backend servers a stage may still be tried on.
 *
 * Inputs: the candidates in force and not ejected, as of now; how this stage's
 * earlier calls on them ended.
 * Rule: those not tried yet; where there are none, those whose call failed, but
 * never those that refused it or were not reached.
 * Why: a failure may not happen again, while what made a side refuse (a full
 * queue, leaving, another model) seldom changes within one request's time.
 * Log event: `choose`, field `candidates`.
 *
 * State: two sets for the life of one stage.
 */
import type { LinkResult } from '../../connection/link-call.js'
import type { LinkedBackend } from './linked-backends.js'
import { isProvablyNotRun } from './call-end.js'

/** The backend servers that one stage was tried on. */
export class TriedBackends {
  private readonly notRun = new Set<LinkedBackend>()
  private readonly failed = new Set<LinkedBackend>()

  /** Notes how a call ended that gave no result. */
  add(backend: LinkedBackend, result: LinkResult): void {
    const group = isProvablyNotRun(result) ? this.notRun : this.failed
    group.add(backend)
  }

  /** The candidates that may be tried next. */
  select(candidates: readonly LinkedBackend[]): LinkedBackend[] {
    const untried = candidates.filter(candidate => !this.notRun.has(candidate) && !this.failed.has(candidate))
    if (untried.length > 0)
      return untried
    return candidates.filter(candidate => this.failed.has(candidate) && !this.notRun.has(candidate))
  }
}
