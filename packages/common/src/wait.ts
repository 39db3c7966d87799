/**
 * Waits that leave no listener behind on signals that live longer. All times
 * are in milliseconds.
 */

/** A signal that never aborts, for a wait that only its time ends. */
export const UNABORTED: AbortSignal = new AbortController().signal

/** Waits for a time, or until one of the signals aborts. */
export function wait(milliseconds: number, ...signals: AbortSignal[]): Promise<void> {
  return new Promise((resolve) => {
    if (signals.some(signal => signal.aborted))
      return resolve()
    const end = (): void => {
      clearTimeout(timer)
      for (const signal of signals)
        signal.removeEventListener('abort', end)
      resolve()
    }
    const timer = setTimeout(end, milliseconds)
    for (const signal of signals)
      signal.addEventListener('abort', end)
  })
}

/** A signal that aborts after a time or with another signal; released by `dispose`. */
export interface BoundedSignal {
  signal: AbortSignal
  dispose: () => void
}

/** Creates a signal that aborts after a time or with another signal. */
export function createBoundedSignal(milliseconds: number, outer?: AbortSignal): BoundedSignal {
  const controller = new AbortController()
  const abort = (): void => controller.abort()
  const timer = setTimeout(abort, milliseconds)
  if (outer?.aborted)
    abort()
  outer?.addEventListener('abort', abort)
  const dispose = (): void => {
    clearTimeout(timer)
    outer?.removeEventListener('abort', abort)
  }
  return { signal: controller.signal, dispose }
}

/**
 * A promise's value, or undefined where the time is over or the signal aborts
 * first. The promise must never reject.
 */
export function settleWithin<Value>(promise: Promise<Value>, milliseconds: number, signal: AbortSignal): Promise<Value | undefined> {
  return new Promise((resolve) => {
    const end = (value?: Value): void => {
      clearTimeout(timer)
      signal.removeEventListener('abort', onAbort)
      resolve(value)
    }
    const onAbort = (): void => end()
    const timer = setTimeout(end, Math.max(0, milliseconds))
    signal.addEventListener('abort', onAbort)
    void promise.then(end)
  })
}
