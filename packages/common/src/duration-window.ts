/**
 * Sliding windows of durations, with mean and quantiles. They are kept in memory
 * by their owner; after a restart the windows are empty and all statistics are 0
 * until durations have been added.
 */

/** Number of durations; enough for a high quantile to be based on about a dozen samples, and few enough to follow a change quickly. */
const DEFAULT_WINDOW = 128
/** Limits memory, at one window per key; high enough that windows in use are not evicted. */
const DEFAULT_MAX_KEYS = 10_000
const MEDIAN = 0.5

/** Sliding window of the most recent durations, in milliseconds. */
export class DurationWindow {
  private readonly samples: number[] = []
  private next = 0
  private sum = 0
  /** Sorted copy, created when a quantile is first computed after a change. */
  private sorted: number[] | undefined

  constructor(private readonly window = DEFAULT_WINDOW) {}

  /** Number of durations in the window. */
  get count(): number {
    return this.samples.length
  }

  add(durationMs: number): void {
    this.sum += durationMs - (this.samples[this.next] ?? 0)
    this.samples[this.next] = durationMs
    this.next = (this.next + 1) % this.window
    this.sorted = undefined
  }

  /** Mean in milliseconds; 0 for an empty window. */
  mean(): number {
    return this.samples.length === 0 ? 0 : this.sum / this.samples.length
  }

  /** Median in milliseconds; 0 for an empty window. */
  median(): number {
    return this.quantile(MEDIAN)
  }

  /** The quantile of a fraction between 0 and 1, in milliseconds; 0 for an empty window. */
  quantile(fraction: number): number {
    if (this.samples.length === 0)
      return 0
    this.sorted ??= [...this.samples].sort((left, right) => left - right)
    const index = Math.min(this.sorted.length - 1, Math.floor(fraction * this.sorted.length))
    return this.sorted[index]
  }
}

/** Sliding windows by key, such as a stage of a pipeline; when there are too many keys, the one that was added first is evicted. */
export class DurationWindowsByKey {
  private readonly byKey = new Map<string, DurationWindow>()

  constructor(private readonly maxKeys = DEFAULT_MAX_KEYS) {}

  /** Returns the window of a key; creates it if necessary. */
  of(key: string): DurationWindow {
    const existing = this.byKey.get(key)
    if (existing)
      return existing
    if (this.byKey.size >= this.maxKeys)
      this.byKey.delete(this.byKey.keys().next().value!)
    const created = new DurationWindow()
    this.byKey.set(key, created)
    return created
  }
}
