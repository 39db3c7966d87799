/**
 * Decides whether a side accepts new stage calls or drains, and why.
 *
 * Inputs: whether the process is stopping, whether the latest configuration is
 * known, the configured order, the placement of the latest applied order (all as
 * of now), and the last report of the backend server (at most `load-interval-ms`
 * old).
 * Rule: any single reason is enough; the first one in the order of the enum is
 * reported. Running calls continue; queued ones continue too, unless the backend
 * server itself is leaving (`stage-runner.ts`).
 * Why one reason is enough: a call that is refused before it starts can run on
 * another backend server at once, while one that starts on a backend server that
 * is leaving may be lost.
 * Log event: `draining` (reason) at each change; entries log `member` with the
 * state `draining`.
 */

/** Reason why a side accepts no new calls. */
export enum DrainReason {
  /** The process is stopping. */
  Stopping = 'stopping',
  /** The side does not have a recent enough configuration yet. */
  ConfigurationUnknown = 'configuration-unknown',
  /** The configuration orders the backend server out of service. */
  OrderedOut = 'ordered-out',
  /** The backend server reports that it is draining. */
  BackendDraining = 'backend-draining',
  /** The backend server does not respond. */
  BackendDown = 'backend-down',
  /** The placement names a model, and the backend server has not loaded one yet. */
  NoModel = 'no-model',
}

/** State of a side and its backend server. */
export interface DrainInputs {
  stopping: boolean
  configurationKnown: boolean
  orderedIn: boolean
  backendDraining: boolean
  backendDown: boolean
  /** Whether the placement names a model. */
  requiresModel: boolean
  /** Whether an order has been applied in this incarnation of the backend server. */
  placementApplied: boolean
}

/** Returns the reason to drain; undefined if new calls are accepted. */
export function findDrainReason(inputs: DrainInputs): DrainReason | undefined {
  if (inputs.stopping)
    return DrainReason.Stopping
  if (!inputs.configurationKnown)
    return DrainReason.ConfigurationUnknown
  if (!inputs.orderedIn)
    return DrainReason.OrderedOut
  if (inputs.backendDraining)
    return DrainReason.BackendDraining
  if (inputs.backendDown)
    return DrainReason.BackendDown
  return inputs.requiresModel && !inputs.placementApplied ? DrainReason.NoModel : undefined
}
