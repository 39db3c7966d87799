/**
 * Decides when a gateway that starts, or resumes after a suspension, knows enough
 * about its peers to tell which gateway coordinates the stage work. Its own
 * requests wait until then.
 *
 * Inputs: when the member directory was first read; for each monitored member,
 * whether it has answered a heartbeat or failed to; milliseconds since the start.
 * Rule: discovery is complete once the directory has been read and every
 * monitored member has answered or failed to, MAX_REPLY_WAIT_MS after that read,
 * or MAX_DIRECTORY_WAIT_MS after the start.
 * Why: a gateway without a reply from any peer considers itself the coordinator.
 * When all gateways of a large deployment started together, each of 50
 * coordinated the first requests itself, with its own pools over the same stage
 * backend servers. For 2.5 s a fifth to nearly half of the stage calls came from
 * such gateways, with one to three items each, and the shard coordinators had to
 * refuse two of three requests.
 * Log event: none; `stage-coordinator` reports the coordinator that was found.
 */

/**
 * Timeout from the first read of the directory; equal to the time after which a
 * silent member counts as failed. Long enough for VMs under start-up load, and
 * limits the delay of requests when peers are frozen.
 */
const MAX_REPLY_WAIT_MS = 600
/**
 * Timeout from the start when the store does not answer. On a VM with a quarter
 * of a core, the directory is read 0.4 to 0.8 s after the first log line when all
 * gateways start together, and later on smaller VMs. Requests that wait much
 * longer miss their targets when the store is unavailable.
 */
const MAX_DIRECTORY_WAIT_MS = 1500

/** State of the discovery at one point in time. */
export interface DiscoveryProgress {
  /** For each monitored member, whether it has answered a heartbeat or failed to. */
  probed: readonly boolean[]
  /** Monotonic clock, in milliseconds. */
  now: number
}

/** Tracks the first contact of this process with its peers. Counts as complete before the start. */
export class PeerDiscovery {
  private complete = true
  private startedAt = 0
  private directoryReadAt: number | undefined
  private waiting: (() => void)[] = []

  /** Whether requests need not wait; true before the start. */
  get isComplete(): boolean {
    return this.complete
  }

  /** Starts discovery when the process begins to send heartbeats. `now` is on the monotonic clock, in milliseconds. */
  start(now: number): void {
    this.complete = false
    this.startedAt = now
  }

  /**
   * Starts discovery again after the process may have been suspended. `now` is on
   * the monotonic clock, in milliseconds.
   */
  restart(now: number): void {
    if (this.directoryReadAt === undefined)
      return
    this.start(now)
    this.directoryReadAt = now
  }

  /** Records the first read of the directory. `now` is on the monotonic clock, in milliseconds. */
  noteDirectoryRead(now: number): void {
    this.directoryReadAt ??= now
  }

  /** Completes the discovery, and releases the waiting requests, if the rule is met. */
  update(progress: DiscoveryProgress): void {
    if (this.complete || !this.canComplete(progress))
      return
    this.complete = true
    this.waiting.forEach(resolve => resolve())
    this.waiting = []
  }

  /** Resolves when discovery is complete. */
  whenComplete(): Promise<void> {
    return this.complete ? Promise.resolve() : new Promise(resolve => this.waiting.push(resolve))
  }

  private canComplete({ probed, now }: DiscoveryProgress): boolean {
    if (this.directoryReadAt === undefined)
      return now - this.startedAt >= MAX_DIRECTORY_WAIT_MS
    return probed.every(Boolean) || now - this.directoryReadAt >= MAX_REPLY_WAIT_MS
  }
}
