/**
 * Which requests backend servers answered lately, by fingerprint. Those that
 * others share are known here not to end backend servers before one ends under
 * them. It owns the newest answers, bounded by number; they are lost with the
 * process.
 */

/** Fingerprints, some 100 bytes each: 40 seconds of the requests of a busy gateway (100 a second). */
const MAX_ANSWERS = 4096

/** Remembers when requests were answered. */
export class RecentAnswers {
  /** Epoch milliseconds by fingerprint, the oldest first. */
  private readonly answeredAt = new Map<string, number>()

  note(fingerprint: string, at: number): void {
    this.answeredAt.delete(fingerprint)
    this.answeredAt.set(fingerprint, at)
    if (this.answeredAt.size <= MAX_ANSWERS)
      return
    const [oldest] = this.answeredAt.keys()
    this.answeredAt.delete(oldest)
  }

  /** When such a request was answered last, in epoch milliseconds; undefined where none is remembered. */
  at(fingerprint: string): number | undefined {
    return this.answeredAt.get(fingerprint)
  }
}
