/**
 * Recent durations of one kind of work, with mean and quantiles. They live in
 * memory as long as their owner; a restarted process knows none, and answers 0
 * until it has added some.
 */

/** Durations held. Half makes a high quantile rest on six samples, twice follows a change half as fast. */
const DEFAULT_WINDOW = 128
/** Keys held. Bounds memory (one window a key); fewer keys forget times that are still in use. */
const DEFAULT_MAX_KEYS = 10_000
/** The quantile that half of the durations lie below. */
const MEDIAN = 0.5

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

  /** Median in milliseconds; 0 where nothing was added. */
  median(): number {
    return this.quantile(MEDIAN)
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

/** Recent durations by key, such as a stage of a pipeline; the oldest key goes when there are too many. */
export class RecentTimesByKey {
  private readonly byKey = new Map<string, RecentTimes>()

  constructor(private readonly maxKeys = DEFAULT_MAX_KEYS) {}

  /** The window of a key. */
  of(key: string): RecentTimes {
    const existing = this.byKey.get(key)
    if (existing)
      return existing
    if (this.byKey.size >= this.maxKeys)
      this.byKey.delete(this.byKey.keys().next().value!)
    const created = new RecentTimes()
    this.byKey.set(key, created)
    return created
  }
}
