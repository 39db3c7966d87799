/**
 * Deletes results at their backend servers in batches. Owns the handles that
 * wait for their batch, for a few milliseconds. A deletion that fails, or is
 * lost with the process, only keeps the memory in use until the result expires.
 */
import type { IntakeGate } from '../../../connection/backends/intake-gate.js'
import type { StageClient } from '../../../connection/backends/stage-client.js'
import type { ResultHolder, StageResult } from '../../../request/stages/stage-task.js'

/**
 * Milliseconds that a deletion waits to share a call with others. Saves calls, at
 * the cost of memory that stays in use meanwhile.
 */
const FREE_DELAY_MS = 5
/**
 * The same delay at a backend server with a rate limit, where each deletion
 * takes the place of a stage call. Well below the lifetime of results, which
 * expire by themselves after it.
 */
const LIMITED_FREE_DELAY_MS = 1500

/** Deletes the results of one service. */
export class ResultDeleter {
  private readonly pending = new Map<ResultHolder, string[]>()

  /** `onFreed` is called when a backend server has confirmed deletions. */
  constructor(
    private readonly client: StageClient,
    private readonly intake: Pick<IntakeGate, 'waitMs'>,
    private readonly onFreed: () => void,
  ) {}

  /** Schedules the deletion of a result; does nothing if it is already being deleted. */
  free({ handle, holder }: StageResult): void {
    if (!holder.markForDeletion(handle))
      return
    const handles = this.pending.get(holder)
    if (handles) {
      handles.push(handle)
      return
    }
    const batch = [handle]
    this.pending.set(holder, batch)
    const isLimited = holder.backend.intake.limitPerSecond !== undefined
    setTimeout(() => this.flush(holder, batch), isLimited ? LIMITED_FREE_DELAY_MS : FREE_DELAY_MS)
  }

  /** Sends a batch; postponed while the backend server accepts no calls, and more deletions may join it meanwhile. */
  private flush(holder: ResultHolder, handles: readonly string[]): void {
    const waitMs = this.intake.waitMs(holder.backend)
    if (waitMs > 0) {
      setTimeout(() => this.flush(holder, handles), waitMs)
      return
    }
    this.pending.delete(holder)
    void this.client.free(holder.backend, handles).then((freed) => {
      if (!freed)
        return
      handles.forEach(handle => holder.drop(handle))
      this.onFreed()
    })
  }
}
