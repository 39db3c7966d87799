/**
 * A sum whose summands lose their weight with time. In memory, for the lifetime
 * of its owner.
 */

/** Time in which a summand loses half of its weight: follows a burst soon, without following single requests. */
const HALF_LIFE_MS = 500

/** Times are on the monotonic clock in milliseconds. */
export class DecayingSum {
  private value = 0
  private updatedAt = 0

  add(amount: number, now: number): void {
    this.value = this.at(now) + amount
    this.updatedAt = now
  }

  at(now: number): number {
    return this.value * 2 ** ((this.updatedAt - now) / HALF_LIFE_MS)
  }
}
