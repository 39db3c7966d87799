/**
 * Keeps the flow-control state that removed backend servers reported, by
 * incarnation. An entry of the list that expired while the store was unavailable
 * is listed again, and what its backend server reported still applies. Owns these
 * states until they expire, in memory.
 */
import type { Backend } from '../../connection/backends/backend.js'
import { IntakeState } from '../../connection/backends/intake-state.js'

/** Far longer than it takes until an expired entry is renewed. */
const RETENTION_MS = 600_000

interface RemovedIntake {
  intake: IntakeState
  /** Monotonic clock, in milliseconds. */
  removedAt: number
}

/** Caches the states of removed backend servers. */
export class IntakeCache {
  private readonly byIncarnation = new Map<string, RemovedIntake>()

  /** Stores the state of a removed backend server. Responses to calls in flight may still update it. */
  store({ incarnation, intake }: Backend, now: number): void {
    this.expire(now)
    this.byIncarnation.set(incarnation, { intake, removedAt: now })
  }

  /** Removes and returns the state from an earlier listing of a backend server, or a new state if there is none. */
  take(incarnation: string): IntakeState {
    const removed = this.byIncarnation.get(incarnation)
    this.byIncarnation.delete(incarnation)
    return removed?.intake ?? new IntakeState()
  }

  /** Entries are in the order of their removal, oldest first. */
  private expire(now: number): void {
    for (const [incarnation, { removedAt }] of this.byIncarnation) {
      if (now - removedAt < RETENTION_MS)
        return
      this.byIncarnation.delete(incarnation)
    }
  }
}
