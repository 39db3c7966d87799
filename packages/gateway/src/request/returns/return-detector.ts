/**
 * Classifies arriving requests by whether their client was refused before.
 */
import type { RefusalMemory } from './refusal-memory.js'
import { ArrivalKind } from './refusal-memory.js'

/** An arriving request, as far as it shows an earlier attempt. */
export interface Arrival {
  fingerprint: string
  /** Whether its deadline shows a client's retry (`client-retry-detector.ts`). */
  isRetry: boolean
  /** On the monotonic clock, in milliseconds. */
  arrivedAt: number
}

/** Finds out which requests return after a refusal (setting `account-shares` in `[load]`). */
export interface ReturnDetector {
  classify: (arrival: Arrival) => ArrivalKind
  /** Records that a request was refused for lack of room, and the retry delay that its client was given. */
  recordRefusal: (fingerprint: string, retryAfterMs: number, now: number) => void
}

/** Goes by the deadlines of clients (setting `account-shares = none`). */
export class DeadlineReturnDetector implements ReturnDetector {
  classify({ isRetry }: Arrival): ArrivalKind {
    return isRetry ? ArrivalKind.Returned : ArrivalKind.New
  }

  recordRefusal(): void {}
}

/** Called with each refusal by this gateway. */
export type RefusalListener = (fingerprint: string, retryAfterMs: number, now: number) => void

/** Remembers the refusals of this gateway, and those that peers report to the memory. */
export class MemoryReturnDetector implements ReturnDetector {
  constructor(private readonly memory: RefusalMemory, private readonly onRefusal: RefusalListener) {}

  classify({ fingerprint, arrivedAt }: Arrival): ArrivalKind {
    return this.memory.classify(fingerprint, arrivedAt)
  }

  recordRefusal(fingerprint: string, retryAfterMs: number, now: number): void {
    this.memory.recordRefusal(fingerprint, retryAfterMs, now)
    this.onRefusal(fingerprint, retryAfterMs, now)
  }
}
