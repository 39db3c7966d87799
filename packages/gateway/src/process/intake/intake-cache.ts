/**
 * Keeps the flow-control state that removed backend servers reported, by
 * incarnation. An entry of the list that lapsed while the store was unavailable
 * comes back, and what its backend server reported still applies. Owns these
 * states until they expire, in memory.
 */
import type { Backend } from '../../connection/backends/backend.js'
import { IntakeState } from '../../connection/backends/intake-state.js'

/** Far longer than a lapsed entry takes to come back. */
const RETENTION_MS = 600_000

interface RemovedIntake {
  intake: IntakeState
  /** Process clock, in milliseconds. */
  removedAt: number
}

/** Caches the states of removed backend servers. */
export class IntakeCache {
  private readonly byLife = new Map<string, RemovedIntake>()

  /** Stores the state of a removed backend server. Responses to calls in flight may still update it. */
  store({ life, intake }: Backend, now: number): void {
    this.expire(now)
    this.byLife.set(life, { intake, removedAt: now })
  }

  /** Removes and returns the state from an earlier listing of a backend server, or a new state if there is none. */
  take(life: string): IntakeState {
    const removed = this.byLife.get(life)
    this.byLife.delete(life)
    return removed?.intake ?? new IntakeState()
  }

  /** Entries are in the order of their removal, oldest first. */
  private expire(now: number): void {
    for (const [life, { removedAt }] of this.byLife) {
      if (now - removedAt < RETENTION_MS)
        return
      this.byLife.delete(life)
    }
  }
}
