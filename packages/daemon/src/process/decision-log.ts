/**
 * The routing decisions of one process. Logs each decision and keeps the most
 * recent ones in memory, so that operators can query how a request was routed.
 * The in-memory copy is lost when the process ends; the log lines remain.
 */
import type { LogFields, Logger } from '@eidermast/common'
import type { Decision } from '../connection/peer-router.js'
import type { DecisionRecorder } from '../request/decision-recorder.js'
import { createLogger } from '@eidermast/common'

/** Number of retained decisions. Bounds the memory, at the cost of discarding decisions about older requests. */
const DEFAULT_CAPACITY = 20_000

/** Logs decisions and retains the most recent ones. */
export class DecisionLog implements DecisionRecorder {
  private readonly ringBuffer: Decision[] = []
  private nextIndex = 0
  private readonly log: Logger = createLogger('route')

  constructor(private readonly processName: string, private readonly capacity = DEFAULT_CAPACITY) {}

  record(event: string, requestId: string, fields: LogFields): void {
    this.log(event, { request: requestId, ...fields })
    this.ringBuffer[this.nextIndex] = { at: Date.now(), by: this.processName, event, requestId, fields }
    this.nextIndex = (this.nextIndex + 1) % this.capacity
  }

  /** Returns the retained decisions about a request, oldest first. */
  explain(requestId: string): Decision[] {
    return this.ringBuffer.filter(decision => decision.requestId === requestId).sort((left, right) => left.at - right.at)
  }
}
