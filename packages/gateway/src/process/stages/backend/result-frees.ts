/**
 * Deletes results at their backend servers, a few at a time in one call. Owns
 * the handles that wait for their call (some milliseconds). A deletion that
 * fails, or is lost with the process, costs memory only until the result
 * expires.
 */
import type { IntakeGate } from '../../../connection/backends/intake-gate.js'
import type { StageClient } from '../../../connection/backends/stage-client.js'
import type { ResultHolder, StageResult } from '../../../request/stages/stage-task.js'

/**
 * Milliseconds that a deletion waits for others to share its call. Commit
 * 5dc1342 went from 15 to 5, with other changes. Twice as much keeps memory
 * used longer, half sends more calls.
 */
const FREE_DELAY_MS = 5
/**
 * The same at a backend server that names a limit, where each deletion takes the
 * place of a call. Far enough below the lifetime of results, after which they
 * end by themselves.
 */
const LIMITED_FREE_DELAY_MS = 1500

/** Deletes the results of one service. */
export class ResultFrees {
  private readonly pending = new Map<ResultHolder, string[]>()

  /** The listener is called when a backend server has confirmed deletions. */
  constructor(
    private readonly client: StageClient,
    private readonly intake: Pick<IntakeGate, 'waitMs'>,
    private readonly onFreed: () => void,
  ) {}

  /** Deletes a result soon; one whose deletion is under way is left alone. */
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

  /** Deletions wait where the backend server takes no call now; more may join them meanwhile. */
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
