/**
 * Decides when a gateway that starts has heard enough of the others to know who
 * coordinates the stage work. Until then its own requests wait.
 *
 * Inputs: whether the directory has listed another gateway; for each member that
 * is watched, whether it has answered a heartbeat or failed to; milliseconds
 * since the start.
 * Rule: over when another one is listed and each watched member has shown one of
 * the two, or after MAX_WAIT_MS.
 * Why: who has heard nobody is the coordinator as far as it knows. Where all
 * gateways of a large deployment started together, each of 50 took in the
 * requests that came first, with pools of its own at the stage backend servers
 * of all: for 2.5 s a fifth to nearly half of the calls there were theirs, with
 * one to three items in each, and the shards' coordinators had to refuse two of
 * three requests.
 * Log event: none; `stage-coordinator` says who was found.
 */

/**
 * Milliseconds from the start for which requests wait at most, the time in which
 * a member counts as failed. Not measured apart; half of it is too little for a
 * VM that is busy starting, twice as much keeps the requests of a gateway that
 * is alone waiting for nothing.
 */
const MAX_WAIT_MS = 600

/** What is known of the others. */
export interface AcquaintanceSigns {
  /** Whether the directory has listed another gateway. */
  listed: boolean
  /** For each watched member, whether it answered or failed to. */
  tried: readonly boolean[]
  /** Milliseconds of the process clock. */
  now: number
}

/** The first contact of one process with the other gateways; it is over for good once it is. */
export class Acquaintance {
  private over = true
  private startedAt = 0
  private waiting: (() => void)[] = []

  /** Whether there is nothing to wait for; so it is before the start. */
  get isOver(): boolean {
    return this.over
  }

  /** The process begins to send heartbeats; takes milliseconds of the process clock. */
  begin(now: number): void {
    this.over = false
    this.startedAt = now
  }

  /** Takes a look at what is known. */
  look({ listed, tried, now }: AcquaintanceSigns): void {
    if (this.over)
      return
    const hasHeard = listed && tried.every(Boolean)
    if (!hasHeard && now - this.startedAt < MAX_WAIT_MS)
      return
    this.over = true
    this.waiting.forEach(resolve => resolve())
    this.waiting = []
  }

  /** Resolves when it is over. */
  whenOver(): Promise<void> {
    return this.over ? Promise.resolve() : new Promise(resolve => this.waiting.push(resolve))
  }
}
