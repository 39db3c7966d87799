/**
 * Recent durations of one kind of work, with mean and quantiles.
 */

const DEFAULT_WINDOW = 128

/** A window of the newest durations, in milliseconds. */
export class RecentTimes {
  private readonly samples: number[] = []
  private next = 0
  private sum = 0
  /** Sorted copy, made when a quantile is first asked for after a change. */
  private sorted: number[] | undefined

  constructor(private readonly window = DEFAULT_WINDOW) {}

  /** Number of durations held. */
  get count(): number {
    return this.samples.length
  }

  /** Adds a duration in milliseconds. */
  add(milliseconds: number): void {
    this.sum += milliseconds - (this.samples[this.next] ?? 0)
    this.samples[this.next] = milliseconds
    this.next = (this.next + 1) % this.window
    this.sorted = undefined
  }

  /** Mean in milliseconds; 0 where nothing was added. */
  mean(): number {
    return this.samples.length === 0 ? 0 : this.sum / this.samples.length
  }

  /** A quantile between 0 and 1, in milliseconds; 0 where nothing was added. */
  quantile(share: number): number {
    if (this.samples.length === 0)
      return 0
    this.sorted ??= [...this.samples].sort((left, right) => left - right)
    const index = Math.min(this.sorted.length - 1, Math.floor(share * this.sorted.length))
    return this.sorted[index]
  }
}

/** Recent durations by key, such as a stage of a pipeline. */
export class RecentTimesByKey {
  private readonly byKey = new Map<string, RecentTimes>()

  constructor(private readonly maximumKeys = 10_000) {}

  /** The window of a key. */
  of(key: string): RecentTimes {
    const existing = this.byKey.get(key)
    if (existing)
      return existing
    if (this.byKey.size >= this.maximumKeys)
      this.byKey.delete(this.byKey.keys().next().value!)
    const created = new RecentTimes()
    this.byKey.set(key, created)
    return created
  }
}
