/**
 * Tracks which requests backend servers answered recently, by fingerprint. If a
 * backend server crashes while running a request whose fingerprint was just
 * answered, the request is known not to be the cause. Keeps a bounded number of
 * the newest answers, in memory.
 */

/** About 100 bytes each; 80 s of requests at a busy gateway (100 a second), and those of their prompt parts. */
const MAX_ANSWERS = 12_288

/** Records when requests were answered. */
export class RecentAnswers {
  /** Epoch milliseconds by fingerprint, oldest first. */
  private readonly answeredAt = new Map<string, number>()

  note(fingerprint: string, at: number): void {
    this.answeredAt.delete(fingerprint)
    this.answeredAt.set(fingerprint, at)
    if (this.answeredAt.size <= MAX_ANSWERS)
      return
    const [oldest] = this.answeredAt.keys()
    this.answeredAt.delete(oldest)
  }

  /** When such a request was last answered, in epoch milliseconds; undefined if unknown. */
  at(fingerprint: string): number | undefined {
    return this.answeredAt.get(fingerprint)
  }
}
