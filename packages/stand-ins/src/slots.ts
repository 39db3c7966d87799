/**
 * The slots of a stand-in backend server: so many runs at once, more wait by
 * priority and then in order of arrival.
 */
import type { ServerResponse } from 'node:http'
import { Priority } from '@eidermast/daemon'

const PRIORITY_ORDER = [Priority.High, Priority.Normal, Priority.Low]

interface Waiter {
  rank: number
  start: () => void
}

/** Slots and who waits for one. */
export class Slots {
  private readonly waiting: Waiter[] = []
  private taken = 0

  constructor(private readonly count: number) {}

  /** Number of runs under way. */
  get running(): number {
    return this.taken
  }

  /** Whether nothing runs and nothing waits. */
  get idle(): boolean {
    return this.taken === 0 && this.waiting.length === 0
  }

  /** Waits for a slot; false where the caller left before, and then no slot is taken. */
  async take(priority: Priority, response: ServerResponse): Promise<boolean> {
    if (this.taken >= this.count)
      await this.waitForTurn(PRIORITY_ORDER.indexOf(priority))
    if (response.destroyed) {
      this.startNext()
      return false
    }
    this.taken++
    return true
  }

  /** Ends a run that took a slot. */
  release(): void {
    this.taken--
    this.startNext()
  }

  private waitForTurn(rank: number): Promise<void> {
    return new Promise((start) => {
      const index = this.waiting.findIndex(other => other.rank > rank)
      this.waiting.splice(index < 0 ? this.waiting.length : index, 0, { rank, start })
    })
  }

  private startNext(): void {
    this.waiting.shift()?.start()
  }
}
