/**
 * A gateway as its peers address it.
 */

/** A gateway and the address for its peers. */
export interface Member {
  name: string
  /** `IP:PORT` for its peers. */
  address: string
  /** Failure domain of its VM; undefined for gateways whose release does not report it. */
  failureDomain?: string
  /** Number of CPU cores that it may use, possibly fractional; undefined for gateways whose release does not report it. */
  coreShare?: number
}
