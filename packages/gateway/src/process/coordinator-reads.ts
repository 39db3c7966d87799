/**
 * Decides when this gateway makes its waiting reads of the platform's store
 * anew because the reads of the coordinator failed.
 *
 * Inputs: whether the first coordinator says, with its answers to heartbeats,
 * that its source of backend servers does not answer (at most one heartbeat old).
 * Rule: once each time that it begins to say so.
 * Why: reads that were lost together say nothing of it, and those of a gateway
 * that is told of changes wait for longest. The coordinator notices first, and
 * cannot tell a store that was away, after which entries that lapsed come back,
 * from connections that were lost. A gateway whose new read is answered knows:
 * it goes by the list itself, and not by how long the coordinator uses on what
 * has gone.
 * Log event: `store-failed`, by the reads that were ended.
 */

/** Follows what the coordinator says of its source. */
export class CoordinatorReads {
  /** Name of the coordinator that said last that its source is away. */
  private awayAt: string | undefined

  /** Takes what makes the reads anew. */
  constructor(private readonly readAnew: () => void) {}

  /** The first coordinator answered a heartbeat. */
  takeWord(coordinator: string, isSourceAway: boolean): void {
    const isNews = isSourceAway && this.awayAt !== coordinator
    this.awayAt = isSourceAway ? coordinator : undefined
    if (isNews)
      this.readAnew()
  }
}
