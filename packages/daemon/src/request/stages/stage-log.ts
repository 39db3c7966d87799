/**
 * The decisions on one stage of a request, one function an event. The lines go
 * to the process's memory of decisions, where `eidermast explain` reads them.
 */
import type { LinkResult } from '../../connection/link-call.js'
import type { DoneReply } from '../../connection/messages.js'
import type { DecisionRecorder } from '../decision-recorder.js'
import type { LinkedBackend } from './linked-backends.js'
import type { StageAttempt } from './stage-attempt.js'
import type { StageTask } from './stage-task.js'
import { describeCause } from './call-end.js'

/** A choice of the backend server for one call. */
export interface StageChoice {
  /** Number of the call, from 1. */
  attempt: number
  /** Undefined where no candidate was left. */
  chosen: LinkedBackend | undefined
  /** Candidates left after ejection and earlier calls. */
  candidates: number
  /** Backend servers in force that hold what the stage needs. */
  inForce: number
}

/** Logs what was decided on stages. */
export class StageLog {
  constructor(private readonly recorder: DecisionRecorder) {}

  /** Event `choose`. */
  chosen(task: StageTask, choice: StageChoice): void {
    const { attempt, chosen, candidates, inForce } = choice
    this.recorder.record('choose', task.requestId, {
      stage: task.stage.name,
      attempt,
      chosen: chosen?.backendName ?? 'none',
      candidates,
      inForce,
      outstanding: chosen?.outstanding,
      running: chosen?.load?.running,
      budgetMs: task.budgetMs(),
    })
  }

  /** Event `done`; the time is that of the stage with all its calls, in milliseconds. */
  done(task: StageTask, attempt: StageAttempt, reply: DoneReply, milliseconds: number): void {
    this.recorder.record('done', task.requestId, {
      stage: task.stage.name,
      attempt: attempt.number,
      backend: attempt.backend.backendName,
      queueMs: reply.queueMs,
      serviceMs: reply.serviceMs,
      milliseconds,
    })
  }

  /** Event `failed`. */
  failed(task: StageTask, attempt: StageAttempt, result: LinkResult): void {
    this.recorder.record('failed', task.requestId, {
      stage: task.stage.name,
      attempt: attempt.number,
      backend: attempt.backend.backendName,
      cause: describeCause(result),
    })
  }
}
