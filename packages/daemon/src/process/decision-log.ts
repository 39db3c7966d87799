/**
 * The routing decisions of one process: a log line for each, and the newest
 * ones kept in memory so that operators can ask why a request went where. They
 * are lost with the process; the log lines remain.
 */
import type { LogFields, Logger } from '@eidermast/common'
import type { Decision } from '../connection/peer-router.js'
import type { DecisionRecorder } from '../request/decision-recorder.js'
import { createLogger } from '@eidermast/common'

/** Decisions kept. Half forgets requests sooner, twice takes twice the memory. */
const DEFAULT_CAPACITY = 20_000

/** Logs and remembers decisions. */
export class DecisionLog implements DecisionRecorder {
  private readonly ring: Decision[] = []
  private next = 0
  private readonly log: Logger = createLogger('route')

  constructor(private readonly processName: string, private readonly capacity = DEFAULT_CAPACITY) {}

  /** Logs one decision and keeps it. */
  record(event: string, requestId: string, fields: LogFields): void {
    this.log(event, { request: requestId, ...fields })
    this.ring[this.next] = { at: Date.now(), by: this.processName, event, requestId, fields }
    this.next = (this.next + 1) % this.capacity
  }

  /** The kept decisions about a request, oldest first. */
  explain(requestId: string): Decision[] {
    return this.ring.filter(decision => decision.requestId === requestId).sort((left, right) => left.at - right.at)
  }
}
