/**
 * Decides whether a side refuses a stage call because it is misrouted or based on
 * an outdated configuration. The limits of the queue are checked afterwards.
 *
 * Inputs: the call; whether the side is draining; the side's configuration (as
 * of now); the placement of the latest order applied by the backend server.
 * Rule: refuse, in this order, any call while draining, a call for another
 * backend server, a call for another role, a call that is older than the
 * configured placement and requires another model, and a call whose model or
 * version is not loaded.
 * Why at the side: an entry's configuration may be older than the order, and
 * only the side knows which order has been applied. A refused call has provably
 * not started, so the entry can call another backend server at once.
 * Log event: `refuse` (reason), by the stage runner.
 */
import type { StageCall } from '../../connection/messages.js'
import type { Placement } from '../../version/placement.js'
import { RefusalReason } from '../../connection/messages.js'
import { BackendRole } from '../../version/objects.js'

/** State of a side when a call arrives. */
export interface RefusalContext {
  draining: boolean
  /** Name of the backend server behind the side. */
  backendName: string
  /** Configured role of the backend server; undefined if it is not configured. */
  role: BackendRole | undefined
  /** Configured placement; undefined if the backend server is not configured. */
  placement: Placement | undefined
  /** Placement of the latest applied order. */
  appliedPlacement: Placement | undefined
}

/** Returns why a call is refused; undefined if it can be queued. */
export function findRefusal(call: StageCall, context: RefusalContext): RefusalReason | undefined {
  if (context.draining)
    return RefusalReason.Draining
  if (call.backend !== context.backendName)
    return RefusalReason.OtherIncarnation
  const isServiceCall = call.serviceRequest !== undefined
  if ((context.role === BackendRole.Plain) !== isServiceCall)
    return RefusalReason.WrongRole
  if (context.placement && isStale(call, context.placement))
    return RefusalReason.Stale
  return isModelLoaded(call, context.appliedPlacement) ? undefined : RefusalReason.WrongModel
}

/** Whether the call is based on a configuration older than the placement and requires another model. */
function isStale(call: StageCall, placement: Placement): boolean {
  return call.offset < placement.fence && call.model !== placement.model
}

function isModelLoaded(call: StageCall, appliedPlacement: Placement | undefined): boolean {
  if (call.model === undefined)
    return true
  return appliedPlacement?.model === call.model && (call.version === undefined || appliedPlacement.version === call.version)
}
