/**
 * Abort signals for callers that wait for a member and must learn of its failure,
 * or that connections to it were lost. A watch lasts until then, or until its
 * owner disposes of it.
 */

/** Reason of a watch's signal if the member is alive and connections to it were lost without an error. */
export class ConnectionLostError extends Error {
  constructor(member: string) {
    super(`a connection to ${member} was lost without an error`)
    this.name = 'ConnectionLostError'
  }
}

/** A signal that aborts when a member fails, or with a `ConnectionLostError`. */
export interface FailureWatch {
  signal: AbortSignal
  /** Ends the watch. To be called when the signal is no longer needed. */
  dispose: () => void
}

/** A watch with its start, on the monotonic clock in milliseconds. */
interface StartedWatch {
  controller: AbortController
  startedAt: number
}

/** Keeps the watches by member name. */
export class FailureWatches {
  private readonly watches = new Map<string, Set<StartedWatch>>()

  watch(name: string): FailureWatch {
    const started = { controller: new AbortController(), startedAt: performance.now() }
    const watches = this.watches.get(name) ?? new Set()
    this.watches.set(name, watches.add(started))
    return { signal: started.controller.signal, dispose: () => watches.delete(started) }
  }

  /** Aborts and removes all watches of a failed member. */
  abort(name: string): void {
    const watches = this.watches.get(name)
    this.watches.delete(name)
    for (const { controller } of watches ?? [])
      controller.abort()
  }

  /** Aborts and removes the watches of a member that began before a time, because their connections may be lost. */
  abortBefore(name: string, time: number): void {
    const watches = this.watches.get(name) ?? new Set()
    for (const started of [...watches].filter(({ startedAt }) => startedAt < time)) {
      watches.delete(started)
      started.controller.abort(new ConnectionLostError(name))
    }
  }
}
