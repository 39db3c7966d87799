/**
 * Delays and timeouts that remove their listeners from abort signals that
 * outlive them. All times are in milliseconds.
 */

/** Name of the error with which a signal is aborted by its timeout, as with `AbortSignal.timeout`. */
export const TIMEOUT_ERROR = 'TimeoutError'

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

/** A signal that depends on others; `dispose` removes its listeners, and clears its timer if it has one. */
export interface JoinedSignal {
  signal: AbortSignal
  dispose: () => void
}

/**
 * Creates a signal that is aborted with the first of its parents, for the same
 * reason. Unlike `AbortSignal.any`, which refers to its sources weakly, it keeps
 * its parents from being garbage collected until it is disposed of.
 */
export function joinSignals(...parents: readonly AbortSignal[]): JoinedSignal {
  const controller = new AbortController()
  const listeners = parents.map((parent) => {
    const abort = (): void => controller.abort(parent.reason)
    if (parent.aborted)
      abort()
    parent.addEventListener('abort', abort)
    return { parent, abort }
  })
  const dispose = (): void => {
    for (const { parent, abort } of listeners)
      parent.removeEventListener('abort', abort)
  }
  return { signal: controller.signal, dispose }
}

/** Creates a signal that is aborted after a timeout, with an error named `TimeoutError`, or with the first of its parents. */
export function createTimeoutSignal(timeoutMs: number, ...parents: readonly AbortSignal[]): JoinedSignal {
  const controller = new AbortController()
  const joined = joinSignals(controller.signal, ...parents)
  const timer = setTimeout(() => controller.abort(new DOMException(`timeout after ${Math.round(timeoutMs)} ms`, TIMEOUT_ERROR)), timeoutMs)
  const dispose = (): void => {
    clearTimeout(timer)
    joined.dispose()
  }
  return { signal: joined.signal, dispose }
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
