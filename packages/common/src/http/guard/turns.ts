/**
 * Lets connections with requests that had to wait take turns, for a part of each
 * iteration of the event loop only. Node accepts one connection an iteration, so
 * that long iterations keep new clients waiting. Lives as long as its server.
 */

/** Time for turns within an iteration, in milliseconds. */
const MAX_TURNS_MS = 1

/** The connections that wait for their turn, in order. */
export class Turns {
  private readonly waiting = new Set<() => void>()
  private isScheduled = false

  /** Has `takeTurn` called once, after those that wait already. */
  add(takeTurn: () => void): void {
    this.waiting.add(takeTurn)
    this.schedule()
  }

  private schedule(): void {
    if (this.isScheduled)
      return
    this.isScheduled = true
    setImmediate(() => {
      this.isScheduled = false
      this.run()
    })
  }

  private run(): void {
    const startedAt = performance.now()
    for (const takeTurn of this.waiting) {
      this.waiting.delete(takeTurn)
      takeTurn()
      if (performance.now() - startedAt >= MAX_TURNS_MS)
        break
    }
    if (this.waiting.size > 0)
      this.schedule()
  }
}
