/**
 * Looks at the bodies that clients are sending and at the answers that they have
 * not taken yet, and cuts off clients that stop. Owns the set of open transfers
 * and one timer for all of them, while a limit on held bytes is set; both end with
 * the process.
 */
import type { StallState, TransferProgress } from './client-cut-off.js'
import { CHECK_INTERVAL_MS, decideCutOff, NOT_STALLED } from './client-cut-off.js'

/** What a client left waiting, and for how long. */
export interface Stall {
  waitingBytes: number
  stalledMs: number
}

/** A body that is received, or an answer that is sent. */
export interface OpenTransfer {
  readonly progress: TransferProgress
  /** Counts what waits of it now. */
  updateHeldBytes: () => void
  /** Ends the transfer of a client that stopped. */
  handleStall: (stall: Stall) => void
}

/** The open transfers of a process. */
export class OpenTransfers {
  private readonly open = new Map<OpenTransfer, StallState>()
  private readonly timer: NodeJS.Timeout
  private checkedAt = performance.now()

  constructor() {
    this.timer = setInterval(() => this.check(performance.now()), CHECK_INTERVAL_MS).unref()
  }

  add(transfer: OpenTransfer): void {
    this.open.set(transfer, NOT_STALLED)
  }

  remove(transfer: OpenTransfer): void {
    this.open.delete(transfer)
  }

  stop(): void {
    clearInterval(this.timer)
  }

  private check(now: number): void {
    const elapsedMs = now - this.checkedAt
    this.checkedAt = now
    for (const [transfer, before] of this.open) {
      const { progress } = transfer
      const decision = decideCutOff(progress, before, elapsedMs)
      this.open.set(transfer, decision)
      transfer.updateHeldBytes()
      if (!decision.cutOff)
        continue
      this.remove(transfer)
      transfer.handleStall({ waitingBytes: progress.waitingBytes, stalledMs: decision.stalledMs })
    }
  }
}
