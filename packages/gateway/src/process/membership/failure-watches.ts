/**
 * Signals for callers that wait for a member and must hear of its failure.
 * Each watch lasts until its member fails or its owner disposes of it.
 */

/** A signal that aborts when a member fails. */
export interface FailureWatch {
  signal: AbortSignal
  /** Ends the watch; call it when the signal is no longer needed. */
  dispose: () => void
}

/** Watches by the name of the member. */
export class FailureWatches {
  private readonly controllers = new Map<string, Set<AbortController>>()

  watch(name: string): FailureWatch {
    const controller = new AbortController()
    const watching = this.controllers.get(name) ?? new Set()
    this.controllers.set(name, watching.add(controller))
    return { signal: controller.signal, dispose: () => watching.delete(controller) }
  }

  /** Aborts and forgets all watches of a member that failed. */
  abort(name: string): void {
    const watching = this.controllers.get(name)
    this.controllers.delete(name)
    for (const controller of watching ?? [])
      controller.abort()
  }
}
