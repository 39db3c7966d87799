/**
 * Abort signals for callers that wait for a member and must learn of its failure.
 * A watch lasts until its member fails or its owner disposes of it.
 */

/** A signal that aborts when a member fails. */
export interface FailureWatch {
  signal: AbortSignal
  /** Ends the watch. To be called when the signal is no longer needed. */
  dispose: () => void
}

/** Keeps the watches by member name. */
export class FailureWatches {
  private readonly controllers = new Map<string, Set<AbortController>>()

  watch(name: string): FailureWatch {
    const controller = new AbortController()
    const controllers = this.controllers.get(name) ?? new Set()
    this.controllers.set(name, controllers.add(controller))
    return { signal: controller.signal, dispose: () => controllers.delete(controller) }
  }

  /** Aborts and removes all watches of a failed member. */
  abort(name: string): void {
    const watching = this.controllers.get(name)
    this.controllers.delete(name)
    for (const controller of watching ?? [])
      controller.abort()
  }
}
