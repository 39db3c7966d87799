/**
 * Limits the concurrent runs of a stand-in backend server. Further runs are queued
 * by priority and then in order of arrival.
 */
import type { ServerResponse } from 'node:http'
import { Priority } from '@eidermast/daemon'

const PRIORITY_ORDER = [Priority.High, Priority.Normal, Priority.Low]

interface Waiter {
  rank: number
  start: () => void
}

/** A counting semaphore with a priority queue. */
export class Slots {
  private readonly waiting: Waiter[] = []
  private acquired = 0

  constructor(private readonly count: number) {}

  /** Number of active runs. */
  get running(): number {
    return this.acquired
  }

  /** Whether no run is active or queued. */
  get idle(): boolean {
    return this.acquired === 0 && this.waiting.length === 0
  }

  /** Waits for a slot; resolves to false, without taking one, if the caller has disconnected. */
  async acquire(priority: Priority, response: ServerResponse): Promise<boolean> {
    if (this.acquired >= this.count)
      await this.enqueue(PRIORITY_ORDER.indexOf(priority))
    if (response.destroyed) {
      this.startNext()
      return false
    }
    this.acquired++
    return true
  }

  /** Releases a slot and starts the next queued run. */
  release(): void {
    this.acquired--
    this.startNext()
  }

  private enqueue(rank: number): Promise<void> {
    return new Promise((start) => {
      const index = this.waiting.findIndex(other => other.rank > rank)
      this.waiting.splice(index < 0 ? this.waiting.length : index, 0, { rank, start })
    })
  }

  private startNext(): void {
    this.waiting.shift()?.start()
  }
}
