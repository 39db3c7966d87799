/**
 * A gateway as its peers address it.
 */

/** A gateway and where its peers reach it. */
export interface Member {
  name: string
  /** `IP:PORT` for its peers. */
  address: string
}
