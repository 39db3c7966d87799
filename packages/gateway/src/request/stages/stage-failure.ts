/**
 * Decides how a request continues when one of its stages fails.
 *
 * Inputs: why the stage failed, how often the request's stage work was
 * restarted, whether this coordinator is handing its work over (all current).
 * Rule: during a handover, the next coordinator runs the stage again. Stage work
 * that is too late ends, as does work that crashes the backend servers that run
 * it. Any other failure restarts all stages of the request, at most MAX_RESTARTS
 * times; individual items have already been retried by then.
 * Why: the inputs of the failed stage may already be freed, and a lost input
 * usually means a lost backend server, which also held results of other stages;
 * the failed stage alone could not be started again.
 * Log event: `stages-ended` (its reason); a restart shows as further
 * `stage-call` lines of the request.
 */
import { ItemFailure } from '../../connection/backends/stage-client.js'

/**
 * Restarts of a request's stage work. Allows a request to lose a backend server
 * twice; the limit keeps work that cannot succeed from using calls that other
 * requests need until its deadline.
 */
const MAX_RESTARTS = 2

/** How the request continues. */
export enum StageFailureDecision {
  HandOver = 'hand-over',
  /** It ends because its time is up. */
  TooLate = 'too-late',
  /** It ends because it was restarted too often or may not be sent again. */
  Abandon = 'abandon',
  Restart = 'restart',
}

/** A failed stage and the state of its request. */
export interface StageFailureInputs {
  failure: ItemFailure
  /** Restarts before this failure. */
  restarts: number
  handingOver: boolean
}

/** Decides how a request continues after a failed stage. */
export function decideStageFailure({ failure, restarts, handingOver }: StageFailureInputs): StageFailureDecision {
  if (handingOver)
    return StageFailureDecision.HandOver
  if (failure === ItemFailure.Late)
    return StageFailureDecision.TooLate
  if (failure === ItemFailure.Quarantined)
    return StageFailureDecision.Abandon
  return restarts < MAX_RESTARTS ? StageFailureDecision.Restart : StageFailureDecision.Abandon
}
