/**
 * Proof that nothing of an unrepeatable request ran, for when the log cannot
 * say so: no claim was read here, and every entry that was listed since the
 * log was last read answers that it knows of none either.
 */
import type { EntryPeers } from '../../connection/entry-peers.js'
import type { ClaimRegistry } from './claims.js'
import { OutcomeState } from '../../connection/messages.js'

/** Milliseconds by which the VM list may lag behind. */
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
  machines: ListedEntries
  /** This entry's own address between processes. */
  address: string
}

/** Proves for one entry that requests did not run. */
export class NotRunProof {
  constructor(private readonly options: NotRunProofOptions) {}

  /** Whether nothing of a request has run anywhere. */
  async holds(account: string, requestId: string, key: string): Promise<boolean> {
    const { claims, machines, peers, address } = this.options
    if (claims.find(key) || claims.readAt === undefined)
      return false
    const unreadMs = Date.now() - claims.readAt + LIST_LAG_MS
    const others = machines.entryAddressesWithin(unreadMs).filter(other => other !== address)
    if (!machines.hasRead)
      return false
    const replies = await Promise.all(others.map(other => peers.askOutcome(other, { account, requestId })))
    const allDeny = replies.every(reply => reply && !reply.claimed && (reply.state === OutcomeState.Unknown || reply.state === OutcomeState.NotRun))
    return allDeny && claims.find(key) === undefined
  }
}
