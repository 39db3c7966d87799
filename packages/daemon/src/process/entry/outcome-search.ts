/**
 * Answers what became of a request, for callers and for other entries. Looks
 * in this entry's memory first and then asks every listed entry at once. Keeps
 * no state: what one process life has forgotten and no other knows is unknown.
 */
import type { RequestAnswer } from '../../connection/answer.js'
import type { FoundOutcome } from '../../connection/caller-service.js'
import type { EntryPeers } from '../../connection/entry-peers.js'
import type { OutcomeQuestion, OutcomeReply } from '../../connection/messages.js'
import type { ClaimRegistry } from '../../request/authority/claims.js'
import type { OutcomeTable } from '../../request/outcomes.js'
import type { VirtualMachineList } from '../membership/virtual-machine-list.js'
import { formatAnswer, parseAnswer } from '../../connection/answer.js'
import { createRequestKey } from '../../connection/identity.js'
import { OutcomeState } from '../../connection/messages.js'

/** Parts of the search. */
export interface OutcomeSearchOptions {
  outcomes: OutcomeTable
  claims: ClaimRegistry
  peers: EntryPeers
  machines: VirtualMachineList
  /** This entry's own address between processes. */
  address: string
}

/** Searches outcomes for one entry. */
export class OutcomeSearch {
  constructor(private readonly options: OutcomeSearchOptions) {}

  /** What this entry knows of a request, in the form for other entries. */
  lookUp(question: OutcomeQuestion): OutcomeReply {
    const key = createRequestKey(question.account, question.requestId)
    const known = this.options.outcomes.find(key)
    const claimed = this.options.claims.find(key) !== undefined
    if (!known)
      return { state: OutcomeState.Unknown, claimed }
    return { state: known.state, claimed, answer: known.finished && formatAnswer(known.finished) }
  }

  /** What any entry knows of a request. Entries that do not answer in time count as knowing nothing. */
  async find(question: OutcomeQuestion): Promise<FoundOutcome> {
    const own = this.lookUp(question)
    const replies = own.state === OutcomeState.Unknown ? await this.askOthers(question) : [own]
    const answer = findAnswer(replies)
    if (answer)
      return { state: OutcomeState.Finished, answer }
    const running = replies.some(reply => reply?.state === OutcomeState.Running)
    return { state: running ? OutcomeState.Running : OutcomeState.Unknown }
  }

  private askOthers(question: OutcomeQuestion): Promise<(OutcomeReply | undefined)[]> {
    const { address, machines, peers } = this.options
    const others = machines.entryAddresses().filter(other => other !== address)
    return Promise.all(others.map(other => peers.askOutcome(other, question)))
  }
}

function findAnswer(replies: (OutcomeReply | undefined)[]): RequestAnswer | undefined {
  const text = replies.find(reply => reply?.answer !== undefined)?.answer
  return text === undefined ? undefined : parseAnswer(text)
}
