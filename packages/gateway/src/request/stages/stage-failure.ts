/**
 * Decides what follows for a request when one of its stages fails.
 *
 * Inputs: why the stage failed, how often the request's stage work was
 * restarted, whether this coordinator is handing its work over (all current).
 * Rule: a coordinator that hands over lets the next one redo the stage. Work
 * that is late ends, and so does work that ends the backend servers that run
 * it. Anything else restarts all stages of the request, at most
 * MAX_RESTARTS times; single items have been retried before.
 * Why: the inputs of the failed stage may be freed already, and a lost input
 * usually means a lost backend server, which held results of other stages too;
 * running only the failed stage again could not start.
 * Log event: `stages-ended` (its reason); a restart shows as further
 * `stage-call` lines of the request.
 */
import { ItemFailure } from '../../connection/backends/stage-client.js'

/**
 * Restarts of a request's stage work. At half as many, a request that loses a
 * backend server twice fails, at twice as many, work without a chance takes
 * calls from other requests until its deadline.
 */
const MAX_RESTARTS = 2

/** What follows for the request. */
export enum StageFailureDecision {
  HandOver = 'hand-over',
  /** It ends: its time is up. */
  TooLate = 'too-late',
  /** It ends: it was restarted too often, or may not be sent again. */
  Abandon = 'abandon',
  Restart = 'restart',
}

/** A failed stage and the state of its request. */
export interface StageFailureCase {
  failure: ItemFailure
  /** Restarts before this failure. */
  restarts: number
  handingOver: boolean
}

/** Decides on a request after a failed stage. */
export function decideStageFailure({ failure, restarts, handingOver }: StageFailureCase): StageFailureDecision {
  if (handingOver)
    return StageFailureDecision.HandOver
  if (failure === ItemFailure.Late)
    return StageFailureDecision.TooLate
  if (failure === ItemFailure.Quarantined)
    return StageFailureDecision.Abandon
  return restarts < MAX_RESTARTS ? StageFailureDecision.Restart : StageFailureDecision.Abandon
}
