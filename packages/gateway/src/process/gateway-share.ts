/**
 * Decides which share of the deployment-wide limits this gateway may use: for
 * connections to backend servers, the fixed part of the retry budget, requests
 * to cold backend servers, and requests to backend servers that announce a rate
 * limit.
 *
 * Inputs: number of gateways in the platform's directory, including this one
 * (some hundred ms old, or older during a store outage); the limit for all
 * gateways together; number of gateways that send heartbeats to this one (as of
 * now).
 * Rule: equal shares, divided by one more than the number of listed gateways. A
 * coordinator takes the shares of all gateways whose heartbeats it receives,
 * because it assigns requests on their behalf.
 * Why: needs no messages, and the sum stays within the limit while one gateway
 * starts that the others do not know yet. Shares by load would use the limit
 * better but need agreement before each change. When the network is partitioned,
 * each side's coordinator counts only the gateways that it receives heartbeats
 * from, so the shares still add up to no more than the limit.
 * Log event: `member-listed` and `member-removed` change the count; the metric
 * `eidermast_gateway_members` shows it.
 */

/** Gateways that may be running but not listed yet. Their share is reserved, at the cost of smaller shares for all others. */
const UNLISTED_GATEWAYS = 1

/** Number of gateways by which a deployment-wide limit is divided. */
export function countSharingGateways(listed: number): number {
  return listed + UNLISTED_GATEWAYS
}

/** Fraction (0 to 1) of a deployment-wide limit for a coordinator that receives heartbeats from `heartbeatPeers` other gateways. */
export function coordinatorShare(heartbeatPeers: number, listed: number): number {
  return Math.min(1, (heartbeatPeers + 1) / countSharingGateways(listed))
}

/** Maximum connections of this gateway to one backend server that accepts `limit` from all gateways together. */
export function shareOfConnections(limit: number, listed: number): number {
  return Math.floor(limit / countSharingGateways(listed))
}
