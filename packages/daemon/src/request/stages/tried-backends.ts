/**
 * Decides which backend servers a stage can still be tried on.
 *
 * Inputs: the available candidates that are not ejected; the results of this
 * stage's earlier calls to them.
 *
 * Candidates that have not been tried come first. If there are none, those whose
 * call failed or was not sent can be tried again, but never those that refused
 * it: a lost connection may be open again, whereas the reason for a refusal (full
 * queue, leaving, wrong model) rarely changes within the lifetime of a request.
 *
 * Log event: `choose`, field `candidates`.
 *
 * State: two sets for the lifetime of one stage.
 */
import type { LinkResult } from '../../connection/link-call.js'
import type { LinkedBackend } from './linked-backends.js'
import { isRefused } from './call-result.js'

/** Tracks the backend servers on which a stage has been tried. */
export class TriedBackends {
  private readonly refused = new Set<LinkedBackend>()
  private readonly failed = new Set<LinkedBackend>()

  /** Records a failed call. */
  add(backend: LinkedBackend, result: LinkResult): void {
    const group = isRefused(result) ? this.refused : this.failed
    group.add(backend)
  }

  /** Returns the candidates that can be tried next. */
  select(candidates: readonly LinkedBackend[]): LinkedBackend[] {
    const untried = candidates.filter(candidate => !this.refused.has(candidate) && !this.failed.has(candidate))
    if (untried.length > 0)
      return untried
    return candidates.filter(candidate => this.failed.has(candidate) && !this.refused.has(candidate))
  }
}
