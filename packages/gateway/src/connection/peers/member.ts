/**
 * A gateway as its peers address it.
 */

/** A gateway and where its peers reach it. */
export interface Member {
  name: string
  /** `IP:PORT` for its peers. */
  address: string
  /** Where its VM is; absent for gateways of releases that do not tell it. */
  failureDomain?: string
  /** Cores that it may use, also a part of one; absent as above. */
  coreShare?: number
}
