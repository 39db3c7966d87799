/**
 * Decides whether it is proven that no part of an unrepeatable request ran, for
 * use while the log is unavailable.
 *
 * Inputs: the claims that this entry has read and the time since it last read the
 * log (ms); the entries that the VM list contained since then; their answers.
 *
 * The proof holds only if this entry has read no claim of the request, and every
 * entry that was listed since the log was last read (plus LIST_LAG_MS) answers
 * that it knows of no claim and no run. If one entry does not answer, the proof
 * fails. A majority is not sufficient, because a single entry may hold the claim
 * that this entry has not read.
 *
 * Log event: `answer`, field `ran`.
 */
import type { EntryPeers } from '../../connection/entry-peers.js'
import type { OutcomeReply } from '../../connection/messages.js'
import type { ClaimRegistry } from './claims.js'
import { OutcomeState } from '../../connection/messages.js'

/** Maximum lag of the VM list: covers entries that are listed late, at the cost of querying dead ones. */
const LIST_LAG_MS = 30_000

/** Recent contents of the platform's VM list. */
export interface ListedEntries {
  /** Whether the list has been read at least once. */
  readonly hasRead: boolean
  /** Returns the addresses of all entries that were listed within the given last milliseconds. */
  entryAddressesWithin: (milliseconds: number) => string[]
}

/** Dependencies of the proof. */
export interface NotRunProofOptions {
  claims: ClaimRegistry
  peers: EntryPeers
  listedEntries: ListedEntries
  /** Peer address of this entry. */
  address: string
}

/** Proves that requests did not run, from the claims of this entry and the answers of the others. */
export class NotRunProof {
  constructor(private readonly options: NotRunProofOptions) {}

  /** Whether it is proven that no part of a request has run on any entry. */
  async holds(account: string, requestId: string, key: string): Promise<boolean> {
    const { claims, listedEntries, peers, address } = this.options
    if (claims.find(key) || claims.readAt === undefined || !listedEntries.hasRead)
      return false
    const listWindowMs = Date.now() - claims.readAt + LIST_LAG_MS
    const others = listedEntries.entryAddressesWithin(listWindowMs).filter(other => other !== address)
    const replies = await Promise.all(others.map(other => peers.queryOutcome(other, { account, requestId })))
    return replies.every(reportsNotRun) && claims.find(key) === undefined
  }
}

/** Whether an entry answered that it knows of no claim and no run of the request. */
function reportsNotRun(reply: OutcomeReply | undefined): boolean {
  if (!reply || reply.claimed)
    return false
  return reply.state === OutcomeState.Unknown || reply.state === OutcomeState.NotRun
}
