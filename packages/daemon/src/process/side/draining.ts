/**
 * Decides whether a side takes new stage calls, or why it drains.
 *
 * Inputs: whether the process is stopping, whether the newest configuration is
 * known, the configured order, what the backend server holds by the newest
 * order that took effect (all as of now), and what the backend server last
 * reported (at most `load-interval-ms` old).
 * Rule: any one reason is enough; the first in the order of the enum is named.
 * Calls that run go on; queued ones go on too, unless the backend server itself
 * leaves (`stage-runner.ts`).
 * Why one reason is enough: a call that is refused before it starts runs
 * elsewhere at once, while one that starts at a backend server that leaves may
 * be lost.
 * Log event: `draining` (reason) at each change; entries log `member` with the
 * state `draining`.
 */

/** Why a side takes no new calls. */
export enum DrainReason {
  /** The process was asked to stop. */
  Stopping = 'stopping',
  /** No configuration is known yet that is new enough. */
  ConfigurationUnknown = 'configuration-unknown',
  /** The configuration orders the backend server out. */
  OrderedOut = 'ordered-out',
  /** The backend server reports that it leaves. */
  BackendDraining = 'backend-draining',
  /** The backend server does not answer. */
  BackendDown = 'backend-down',
  /** The backend server should hold a model and holds none yet. */
  NoModel = 'no-model',
}

/** What is known of a side and its backend server. */
export interface DrainSigns {
  stopping: boolean
  configurationKnown: boolean
  orderedIn: boolean
  backendDraining: boolean
  backendDown: boolean
  /** Whether the placement names a model. */
  wantsModel: boolean
  /** Whether an order took effect in this life of the backend server. */
  holdsPlacement: boolean
}

/** The reason to drain; undefined while new calls are taken. */
export function findDrainReason(signs: DrainSigns): DrainReason | undefined {
  if (signs.stopping)
    return DrainReason.Stopping
  if (!signs.configurationKnown)
    return DrainReason.ConfigurationUnknown
  if (!signs.orderedIn)
    return DrainReason.OrderedOut
  if (signs.backendDraining)
    return DrainReason.BackendDraining
  if (signs.backendDown)
    return DrainReason.BackendDown
  return signs.wantsModel && !signs.holdsPlacement ? DrainReason.NoModel : undefined
}
