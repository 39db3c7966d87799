/**
 * Operator orders to evacuate a failure domain: no new work is sent to its
 * backend servers until the order is revoked.
 */

/** The latest order for a failure domain. */
export interface EvacuationOrder {
  failureDomain: string
  /** Whether the failure domain is evacuated; false if the evacuation was revoked. */
  evacuated: boolean
  /** Position of the order in the operator's records; the order with the higher revision is the newer one. */
  revision: number
}

/** The evacuation orders in force as of a revision of the operator's records. */
export interface EvacuationOrders {
  /** Revision up to which the operator's records have been read. */
  revision: number
  /** One order per evacuated failure domain. */
  orders: readonly EvacuationOrder[]
}
