/**
 * Decides which gateways keep the record of a stream besides the one that began
 * it, and are asked when a client resumes it.
 *
 * Inputs: the key of the stream; the listed gateways except this one, with their
 * failure domains (as old as the directory).
 * Rule: the order of rendezvous hashing, in which a gateway whose failure domain
 * precedes it already goes behind all first ones of other domains. The first
 * REPORTED_HOLDERS get the report, and for each that fails one of the next; the
 * first ASKED_HOLDERS are asked.
 * Why: any gateway finds them without having seen the stream. Records in several
 * failure domains survive the loss of one, and more are asked than got it,
 * since lists of gateways differ while some join.
 * Log event: `stream-resumed` (`asked`, `answered`).
 */
import type { Member } from '../../connection/peers/member.js'
import { rankByRendezvous } from '../../request/rendezvous.js'

/** Gateways to which a stream is reported. All of them have to be lost together with the one that began it. */
export const REPORTED_HOLDERS = 3
/** Gateways that are asked where a stream began. */
export const ASKED_HOLDERS = 5

/** Gateways in the order in which they keep the record of a stream. */
export function rankHolders(key: string, gateways: readonly Member[]): Member[] {
  const ranked = rankByRendezvous(key, gateways, ({ name }) => name)
  const domains = new Set<string | undefined>()
  const firstOfDomain: Member[] = []
  const others: Member[] = []
  for (const gateway of ranked) {
    const isFirst = !domains.has(gateway.failureDomain)
    domains.add(gateway.failureDomain)
    ;(isFirst ? firstOfDomain : others).push(gateway)
  }
  return [...firstOfDomain, ...others]
}
