/**
 * Decides whether a side refuses a stage call because it came to the wrong
 * place or was made from an old configuration. Whether the queue has space for
 * it is decided after this.
 *
 * Inputs: the call; whether the side drains; its own configuration (as of
 * now); what its backend server holds by the newest order that took effect.
 * Rule: refuse while draining; then a call for another backend server; then
 * one for another role; then a call made before the order now in force that
 * wants another model; then one whose model or version is not held.
 * Why at the side: an entry's configuration may be older than the order, and
 * only the side knows which order took effect. A refused call has provably not
 * started, so the entry calls elsewhere at once.
 * Log event: `refuse` (reason), by the stage runner.
 */
import type { StageCall } from '../../connection/messages.js'
import type { Placement } from '../../version/placement.js'
import { RefusalReason } from '../../connection/messages.js'
import { BackendRole } from '../../version/objects.js'

/** What a side knows of itself when a call comes. */
export interface RefusalContext {
  draining: boolean
  /** Name of the backend server behind the side. */
  backendName: string
  /** Its configured role; undefined where it is not configured. */
  role: BackendRole | undefined
  /** What it should hold; undefined where it is not configured. */
  placement: Placement | undefined
  /** What it holds by the newest order that took effect. */
  held: Placement | undefined
}

/** Why a call is refused; undefined where it may be queued. */
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
  return holdsModel(call, context.held) ? undefined : RefusalReason.WrongModel
}

/** Whether the call was made from a configuration before the placement, which named another model. */
function isStale(call: StageCall, placement: Placement): boolean {
  return call.offset < placement.fence && call.model !== placement.model
}

function holdsModel(call: StageCall, held: Placement | undefined): boolean {
  if (call.model === undefined)
    return true
  return held?.model === call.model && (call.version === undefined || held.version === call.version)
}
