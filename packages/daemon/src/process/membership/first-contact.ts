/**
 * Decides when a starting entry has met its backend servers, before which the
 * balancer should send it nothing.
 *
 * Inputs: for each link whether its side answered or failed to answer since the
 * link was opened; milliseconds since the first links were opened.
 * Rule: met when every link has shown one of the two, or after
 * FIRST_CONTACT_MS.
 * Why not as soon as the configuration is known: until the links stand no
 * backend server is in force, and every request is shed, although all of them
 * serve (10 of 12 first requests to a restarted entry, small deployment, one
 * run). Why not every backend server in force: one that is down would keep
 * every entry out.
 * Log event: none; the entry's readiness shows it.
 */

/**
 * Milliseconds that a frozen side, which answers neither way, may keep an entry
 * from being ready: the default time-out of a connection. Half sheds requests
 * on a VM that is busy starting, twice only delays an entry beside frozen
 * sides.
 */
export const FIRST_CONTACT_MS = 1000

/** What is known of the links of a starting entry. */
export interface FirstContactSigns {
  /** For each link, whether its side answered or failed to. */
  tried: readonly boolean[]
  /** Milliseconds since the first links were opened. */
  sinceOpenedMs: number
}

/** Whether the entry has met its backend servers. */
export function isFirstContactOver(signs: FirstContactSigns): boolean {
  return signs.sinceOpenedMs >= FIRST_CONTACT_MS || signs.tried.every(Boolean)
}
