/**
 * Remembers which software version began each stream, of this gateway's own
 * requests and of those that peers reported. In memory, bounded by number and by
 * age; a stream that was forgotten counts as unknown.
 */
import type { StreamRecord } from '../../request/continuation/origin-decision.js'

/** Streams remembered, some 150 bytes each; the oldest are forgotten first. */
const MAX_STREAMS = 20_000

interface RememberedStream extends StreamRecord {
  /** On the monotonic clock, in milliseconds. */
  at: number
}

/** Streams by key, the one recorded longest ago first. Times are on the monotonic clock, in milliseconds. */
export class StreamMemory {
  private readonly streams = new Map<string, RememberedStream>()

  constructor(private readonly maxStreams = MAX_STREAMS) {}

  get size(): number {
    return this.streams.size
  }

  /** Records the version of a stream; records that contradict each other leave it without one. */
  record(key: string, version: string, now: number): void {
    const known = this.streams.get(key)
    const agrees = known === undefined || known.version === version
    this.streams.delete(key)
    this.streams.set(key, { version: agrees ? version : undefined, at: now })
    const oldest = this.streams.size > this.maxStreams ? this.streams.keys().next().value : undefined
    if (oldest !== undefined)
      this.streams.delete(oldest)
  }

  find(key: string): StreamRecord | undefined {
    return this.streams.get(key)
  }

  /** All streams that have a version. */
  entries(): { key: string, version: string }[] {
    return [...this.streams].flatMap(([key, { version }]) => version === undefined ? [] : [{ key, version }])
  }

  clear(): void {
    this.streams.clear()
  }

  /** Forgets streams that were recorded more than `lifeMs` ago. */
  expire(lifeMs: number, now: number): void {
    for (const [key, { at }] of this.streams) {
      if (now - at <= lifeMs)
        return
      this.streams.delete(key)
    }
  }
}
