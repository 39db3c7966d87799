/**
 * Asks the gateways that keep the record of a stream where it began. Holds no
 * state beyond the questions in flight.
 */
import type { Member } from '../../connection/peers/member.js'
import type { StreamAnswer, StreamQuestion, VersionMessage } from '../../connection/peers/stream-message.js'
import type { OriginReply, ServingVersion } from '../../request/continuation/origin-decision.js'
import { wait } from '@eidermast/common'
import { isSilent } from '../../connection/peers/peer-clients.js'
import { ASKED_HOLDERS, rankHolders } from './stream-holders.js'

/** Time for the other replies after those that are enough. */
const SETTLE_MS = 50

/** Stands for the reply of a peer that may run and does not answer. */
const SILENCE = Symbol('silence')

/** What the finder works with. */
export interface OriginFinderDependencies {
  /** The listed gateways except this one. */
  gateways: () => readonly Member[]
  /** Failure domain of this gateway. */
  failureDomain: string | undefined
  ask: (gateway: Member, question: StreamQuestion) => Promise<StreamAnswer>
}

/** The replies to a question, and how many gateways were asked. */
export interface OriginReplies {
  asked: number
  /** Gateways that run, as far as known, and have not answered yet. */
  silent: number
  /** Whether a gateway of another failure domain has answered or has ended, or none was asked. */
  reachesOtherDomains: boolean
  replies: OriginReply[]
}

/** Asks peers where streams began. */
export class OriginFinder {
  constructor(private readonly dependencies: OriginFinderDependencies) {}

  /**
   * Resolves once a peer knows the stream, once all have answered or failed, or,
   * if `isEnough` accepts the replies so far, a moment later.
   */
  async find(question: StreamQuestion, isEnough: (replies: OriginReplies) => boolean): Promise<OriginReplies> {
    const holders = rankHolders(question.key, this.dependencies.gateways()).slice(0, ASKED_HOLDERS)
    const isNear = ({ failureDomain }: Member): boolean => failureDomain === this.dependencies.failureDomain
    const found: OriginReplies = { asked: holders.length, silent: holders.length, reachesOtherDomains: holders.every(isNear), replies: [] }
    await new Promise<void>((resolve) => {
      const questions = holders.map(async (holder) => {
        const reply = await this.ask(holder, question)
        if (reply === SILENCE)
          return
        found.silent--
        // Gateways that are known by their heartbeats only have no failure domain here.
        found.reachesOtherDomains ||= holder.failureDomain !== undefined && !isNear(holder)
        if (reply)
          found.replies.push(reply)
        if (found.replies.some(({ record }) => record))
          resolve()
        else if (found.replies.length > 0 && isEnough(found))
          void wait(SETTLE_MS).then(resolve)
      })
      void Promise.all(questions).then(() => resolve())
    })
    return { ...found, replies: [...found.replies] }
  }

  /** The reply of one peer; undefined if it has ended, or runs a release that does not keep records. */
  private async ask(holder: Member, question: StreamQuestion): Promise<OriginReply | typeof SILENCE | undefined> {
    try {
      const { known, version, versions, complete } = await this.dependencies.ask(holder, question)
      return { peer: holder.name, record: known ? { version } : undefined, versions: versions.map(decodeVersion), isComplete: complete }
    }
    catch (error) {
      // Both are logged with the decision, as numbers.
      return isSilent(error) ? SILENCE : undefined
    }
  }
}

/** Encodes a version; the age is left out if it is not known since when the version has been listed. */
export function encodeVersion({ version, ageMs }: ServingVersion): VersionMessage {
  return Number.isFinite(ageMs) ? { version, ageMs } : { version }
}

function decodeVersion({ version, ageMs = Number.POSITIVE_INFINITY }: VersionMessage): ServingVersion {
  return { version, ageMs }
}
