/**
 * Decides whether nothing of an unrepeatable request ran, for when the log
 * cannot say so.
 *
 * Inputs: the claims that this entry has read, and since when it has read none
 * (ms); the entries that the VM list named since then; what each of them answers
 * now.
 * Rule: nothing ran only if no claim was read here, and every entry that was
 * listed since the log was last read, LIST_LAG_MS included, answers that it
 * knows of no claim and no run. One that does not answer disproves it.
 * Why: a majority would not do, because a single entry may hold the claim that
 * this one has not read.
 * Log event: `answer`, field `ran`.
 */
import type { EntryPeers } from '../../connection/entry-peers.js'
import type { OutcomeReply } from '../../connection/messages.js'
import type { ClaimRegistry } from './claims.js'
import { OutcomeState } from '../../connection/messages.js'

/** Milliseconds that the VM list may lag behind. Half misses an entry that is listed late, twice asks more dead ones. */
const LIST_LAG_MS = 30_000

/** The entries that the platform's VM list named. */
export interface ListedEntries {
  /** Whether the list was read at least once. */
  readonly hasRead: boolean
  /** Addresses of every entry that was listed within the last milliseconds. */
  entryAddressesWithin: (milliseconds: number) => string[]
}

/** Parts of the proof. */
export interface NotRunProofOptions {
  claims: ClaimRegistry
  peers: EntryPeers
  listedEntries: ListedEntries
  /** This entry's own address between processes. */
  address: string
}

/** Proves for one entry that requests did not run. */
export class NotRunProof {
  constructor(private readonly options: NotRunProofOptions) {}

  /** Whether nothing of a request has run anywhere. */
  async holds(account: string, requestId: string, key: string): Promise<boolean> {
    const { claims, listedEntries, peers, address } = this.options
    if (claims.find(key) || claims.readAt === undefined || !listedEntries.hasRead)
      return false
    const unreadMs = Date.now() - claims.readAt + LIST_LAG_MS
    const others = listedEntries.entryAddressesWithin(unreadMs).filter(other => other !== address)
    const replies = await Promise.all(others.map(other => peers.askOutcome(other, { account, requestId })))
    return replies.every(deniesRun) && claims.find(key) === undefined
  }
}

/** Whether an entry answered that it knows of no claim and no run. */
function deniesRun(reply: OutcomeReply | undefined): boolean {
  if (!reply || reply.claimed)
    return false
  return reply.state === OutcomeState.Unknown || reply.state === OutcomeState.NotRun
}
