/**
 * Delays and timeouts that remove their listeners from abort signals that
 * outlive them. All times are in milliseconds.
 */

/** A signal that is never aborted, for waits that end only by their timeout. */
export const NEVER_ABORTED: AbortSignal = new AbortController().signal

/** Resolves after a delay, or as soon as one of the signals is aborted. */
export function wait(delayMs: number, ...signals: AbortSignal[]): Promise<void> {
  return new Promise((resolve) => {
    if (signals.some(signal => signal.aborted))
      return resolve()
    const end = (): void => {
      clearTimeout(timer)
      for (const signal of signals)
        signal.removeEventListener('abort', end)
      resolve()
    }
    const timer = setTimeout(end, delayMs)
    for (const signal of signals)
      signal.addEventListener('abort', end)
  })
}

/** A signal with a timeout; `dispose` clears its timer and removes its listener. */
export interface TimeoutSignal {
  signal: AbortSignal
  dispose: () => void
}

/** Creates a signal that is aborted after a timeout or together with another signal. */
export function createTimeoutSignal(timeoutMs: number, parent?: AbortSignal): TimeoutSignal {
  const controller = new AbortController()
  const abort = (): void => controller.abort()
  const timer = setTimeout(abort, timeoutMs)
  if (parent?.aborted)
    abort()
  parent?.addEventListener('abort', abort)
  const dispose = (): void => {
    clearTimeout(timer)
    parent?.removeEventListener('abort', abort)
  }
  return { signal: controller.signal, dispose }
}

/**
 * Resolves with the promise's value, or with undefined if the timeout elapses or
 * the signal is aborted first. The promise must never reject.
 */
export function settleWithin<Value>(promise: Promise<Value>, timeoutMs: number, signal: AbortSignal): Promise<Value | undefined> {
  return new Promise((resolve) => {
    const end = (value?: Value): void => {
      clearTimeout(timer)
      signal.removeEventListener('abort', onAbort)
      resolve(value)
    }
    const onAbort = (): void => end()
    const timer = setTimeout(end, Math.max(0, timeoutMs))
    signal.addEventListener('abort', onAbort)
    void promise.then(end)
  })
}
