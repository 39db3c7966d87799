/**
 * Decides when a gateway that starts, or was away, has heard enough of the others to know who
 * coordinates the stage work. Until then its own requests wait.
 *
 * Inputs: when the directory was first read; for each member that is watched,
 * whether it has answered a heartbeat or failed to; milliseconds since the start.
 * Rule: over when the directory was read and each watched member has shown one
 * of the two, MAX_ANSWER_WAIT_MS after that reading, or MAX_LIST_WAIT_MS after
 * the start.
 * Why: who has heard nobody is the coordinator as far as it knows. Where all
 * gateways of a large deployment started together, each of 50 took in the
 * requests that came first, with pools of its own at the stage backend servers
 * of all: for 2.5 s a fifth to nearly half of the calls there were theirs, with
 * one to three items in each, and the shards' coordinators had to refuse two of
 * three requests.
 * Log event: none; `stage-coordinator` says who was found.
 */

/**
 * Milliseconds from the first reading of the directory: the time in which a
 * member counts as failed. Half of it is too little for VMs that are busy
 * starting, twice as much waits for those that are frozen.
 */
const MAX_ANSWER_WAIT_MS = 600
/**
 * Milliseconds from the start for a store that does not answer. A VM of a quarter
 * of a core reads the directory 0.4 to 0.8 s after its first line where all start
 * together. Half of it is over before that on smaller ones, twice as much lets
 * requests miss their targets where the store is out.
 */
const MAX_LIST_WAIT_MS = 1500

/** What is known of the others. */
export interface AcquaintanceSigns {
  /** For each watched member, whether it answered or failed to. */
  tried: readonly boolean[]
  /** Milliseconds of the process clock. */
  now: number
}

/** The first contact of one process with the other gateways; it is over until the process was away. */
export class Acquaintance {
  private over = true
  private startedAt = 0
  private listReadAt: number | undefined
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

  /** The process may have been away: it waits again until the others have shown themselves; takes milliseconds of the process clock. */
  beginAgain(now: number): void {
    if (this.listReadAt === undefined)
      return
    this.begin(now)
    this.listReadAt = now
  }

  /** The directory was read; takes milliseconds of the process clock. */
  noteListRead(now: number): void {
    this.listReadAt ??= now
  }

  /** Takes a look at what is known. */
  look(signs: AcquaintanceSigns): void {
    if (this.over || !this.isEnough(signs))
      return
    this.over = true
    this.waiting.forEach(resolve => resolve())
    this.waiting = []
  }

  /** Resolves when it is over. */
  whenOver(): Promise<void> {
    return this.over ? Promise.resolve() : new Promise(resolve => this.waiting.push(resolve))
  }

  private isEnough({ tried, now }: AcquaintanceSigns): boolean {
    if (this.listReadAt === undefined)
      return now - this.startedAt >= MAX_LIST_WAIT_MS
    return tried.every(Boolean) || now - this.listReadAt >= MAX_ANSWER_WAIT_MS
  }
}
