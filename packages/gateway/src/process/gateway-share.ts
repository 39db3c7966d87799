/**
 * Decides which part of the deployment's common limits this gateway may use,
 * for connections to backend servers, for the fixed part of the retry budget,
 * for requests to cold backend servers, and to those that name a limit.
 *
 * Inputs: gateways that the platform's directory lists, this one included (the
 * list is some hundred ms old, or older while the store is away), the
 * limit of all gateways together, and how many gateways send this one
 * heartbeats (as of now).
 * Rule: equal parts, for one gateway more than is listed. A coordinator takes
 * the parts of those that it hears, since it assigns for them.
 * Why: no message is needed and the sum stays within the limit while a
 * gateway starts that the others do not know yet. Shares by load would use
 * the limit better, but need an agreement before each change. Gateways that are
 * cut off from each other each coordinate for those that they hear: their parts
 * add up to no more than the limit.
 * Log event: `member-listed` and `member-removed` change the count; the metric
 * `eidermast_gateway_members` shows it.
 */

/** Gateways that may start unlisted. With 0 such a one exceeds the limit, with 2 each share is smaller than needed. */
const SPARE_GATEWAYS = 1

/** Gateways among which a limit of all gateways is divided. */
export function countSharingGateways(listed: number): number {
  return listed + SPARE_GATEWAYS
}

/** Part of a limit of all gateways that a coordinator may use which hears some others, from 0 to 1. */
export function coordinatorPart(heard: number, listed: number): number {
  return Math.min(1, (heard + 1) / countSharingGateways(listed))
}

/** Connections that this gateway may hold to one backend server that accepts `limit` from all gateways together. */
export function shareOfConnections(limit: number, listed: number): number {
  return Math.floor(limit / countSharingGateways(listed))
}
