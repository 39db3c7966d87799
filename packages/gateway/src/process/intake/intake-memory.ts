/**
 * What removed backend servers said of the requests that they take, by their
 * life: an entry that lapsed while the store was away comes back, and what its
 * backend server said holds on. It owns these until they are old, in memory.
 */
import type { Backend } from '../../connection/backends/backend.js'
import { IntakeState } from '../../connection/backends/intake-state.js'

/** Milliseconds; far above the time after which an entry that lapsed is back. */
const KEPT_FOR_MS = 600_000

interface KeptIntake {
  intake: IntakeState
  /** Milliseconds of the process clock. */
  removedAt: number
}

/** Remembers what removed backend servers said. */
export class IntakeMemory {
  private readonly byLife = new Map<string, KeptIntake>()

  /** A backend server was removed; answers to calls that are under way there may still say something. */
  keep({ life, intake }: Backend, now: number): void {
    this.expire(now)
    this.byLife.set(life, { intake, removedAt: now })
  }

  /** What a backend server said that is listed now, in an earlier listing or not at all. */
  recall(life: string): IntakeState {
    const kept = this.byLife.get(life)
    this.byLife.delete(life)
    return kept?.intake ?? new IntakeState()
  }

  /** The longest removed come first. */
  private expire(now: number): void {
    for (const [life, { removedAt }] of this.byLife) {
      if (now - removedAt < KEPT_FOR_MS)
        return
      this.byLife.delete(life)
    }
  }
}
