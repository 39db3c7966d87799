/**
 * Finds the outcome of a request for callers and for other entries. Looks in
 * this entry's memory first and then queries all listed entries in parallel.
 * Stateless: an outcome that is not in the memory of any entry is unknown.
 */
import type { RequestAnswer } from '../../connection/answer.js'
import type { FoundOutcome } from '../../connection/caller-service.js'
import type { EntryPeers } from '../../connection/entry-peers.js'
import type { OutcomeQuery, OutcomeReply } from '../../connection/messages.js'
import type { ClaimRegistry } from '../../request/authority/claims.js'
import type { OutcomeTable } from '../../request/outcomes.js'
import type { VirtualMachineList } from '../membership/virtual-machine-list.js'
import { formatAnswer, parseAnswer } from '../../connection/answer.js'
import { createRequestKey } from '../../connection/identity.js'
import { OutcomeState } from '../../connection/messages.js'

/** Dependencies of the search. */
export interface OutcomeSearchOptions {
  outcomes: OutcomeTable
  claims: ClaimRegistry
  peers: EntryPeers
  machines: VirtualMachineList
  /** Peer address of this entry. */
  address: string
}

export class OutcomeSearch {
  constructor(private readonly options: OutcomeSearchOptions) {}

  /** Looks up a request in the memory of this entry, in the format for other entries. */
  lookUp(query: OutcomeQuery): OutcomeReply {
    const key = createRequestKey(query.account, query.requestId)
    const known = this.options.outcomes.find(key)
    const claimed = this.options.claims.find(key) !== undefined
    if (!known)
      return { state: OutcomeState.Unknown, claimed }
    return { state: known.state, claimed, answer: known.finished && formatAnswer(known.finished) }
  }

  /** Finds the outcome of a request at any entry. Entries that do not respond in time are treated as having none. */
  async find(query: OutcomeQuery): Promise<FoundOutcome> {
    const localReply = this.lookUp(query)
    const replies = localReply.state === OutcomeState.Unknown ? await this.queryPeers(query) : [localReply]
    const answer = findAnswer(replies)
    if (answer)
      return { state: OutcomeState.Finished, answer }
    const running = replies.some(reply => reply?.state === OutcomeState.Running)
    return { state: running ? OutcomeState.Running : OutcomeState.Unknown }
  }

  private queryPeers(query: OutcomeQuery): Promise<(OutcomeReply | undefined)[]> {
    const { address, machines, peers } = this.options
    const peerAddresses = machines.entryAddresses().filter(peerAddress => peerAddress !== address)
    return Promise.all(peerAddresses.map(peerAddress => peers.queryOutcome(peerAddress, query)))
  }
}

function findAnswer(replies: (OutcomeReply | undefined)[]): RequestAnswer | undefined {
  const text = replies.find(reply => reply?.answer !== undefined)?.answer
  return text === undefined ? undefined : parseAnswer(text)
}
