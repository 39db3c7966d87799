/**
 * An operator's order about one failure domain: nothing more is sent to its
 * backend servers, until the order is taken back.
 */

/** The newest order about a failure domain. */
export interface EvacuationOrder {
  failureDomain: string
  /** Whether the failure domain is evacuated; false where that was taken back. */
  evacuated: boolean
  /** Place of the order among the operator's records: of two orders the one with the higher revision is the newer. */
  revision: number
}

/** The orders in force at one moment, as the operator's records hold them. */
export interface EvacuationOrders {
  /** Up to which of the operator's records they are known. */
  revision: number
  /** One for each failure domain that is evacuated. */
  orders: readonly EvacuationOrder[]
}
