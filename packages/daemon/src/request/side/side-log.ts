/**
 * The decisions of a side on stage calls, one function an event. The lines go to
 * the process's memory of decisions, where `eidermast explain` reads them.
 */
import type { RefusalReason, StageCall } from '../../connection/messages.js'
import type { DecisionRecorder } from '../decision-recorder.js'
import type { BackendRun } from './backend-run.js'

/** Logs what a side decided. */
export class SideLog {
  constructor(private readonly recorder: DecisionRecorder) {}

  /** Event `join`: a repeat of a call that is known. */
  joined(run: BackendRun): void {
    const { requestId, stage, attempt } = run.call.identity
    this.recorder.record('join', requestId, { stage, attempt, finished: run.finished !== undefined })
  }

  /** Event `refuse`, with the calls that wait and run. */
  refused(call: StageCall, reason: RefusalReason, queued: number, running: number): void {
    const { requestId, stage, attempt } = call.identity
    this.recorder.record('refuse', requestId, { stage, attempt, reason, queued, running, budgetMs: call.budgetMs })
  }
}
