/**
 * Tells other gateways the newest refusals, since a client may return to another
 * one: each gateway reports its own in heartbeats, and the coordinator answers
 * with those of the others. What is lost with a heartbeat is not sent again; the
 * client then counts as new at the other gateways. In memory.
 */
import type { RefusalMessage } from '../../connection/peers/load-message.js'
import type { RefusalMemory } from '../../request/returns/refusal-memory.js'
import { MAX_REFUSALS } from '../../connection/peers/load-message.js'

/** Several heartbeat intervals; older refusals have been sent to all that are there. */
const SHARED_FOR_MS = 1000
/** Refusals kept for sending; bounds the memory. */
const MAX_KEPT = 1024

interface KeptRefusal extends RefusalMessage {
  sequence: number
  /** Name of the gateway that refused the request; undefined for this one. */
  origin: string | undefined
  keptAt: number
}

/** Shares refusals with peers. Times are on the monotonic clock, in milliseconds. */
export class RefusalExchange {
  /** The oldest first. */
  private kept: KeptRefusal[] = []
  private sequence = 0
  /** Last own refusal that was reported to each peer. */
  private readonly reported = new Map<string, number>()
  /** Last refusal that was answered to each peer. */
  private readonly answered = new Map<string, number>()

  constructor(private readonly memory: Pick<RefusalMemory, 'recordRefusal'>) {}

  /** Records a refusal by this gateway. */
  note(fingerprint: string, retryAfterMs: number, now: number): void {
    this.keep({ fingerprint, delayMs: Math.round(retryAfterMs) }, undefined, now)
  }

  /** Returns the own refusals since the last report to this peer; undefined if there are none. */
  messages(peer: string, now: number): RefusalMessage[] | undefined {
    return this.newest(this.reported, peer, ({ origin }) => origin === undefined, now)
  }

  /** Returns the refusals of others than this peer since the last answer to it; undefined if there are none. */
  messagesFor(peer: string, now: number): RefusalMessage[] | undefined {
    return this.newest(this.answered, peer, ({ origin }) => origin !== peer, now)
  }

  /** Applies the own refusals of a peer, and keeps them for the others. */
  receive(messages: readonly RefusalMessage[], peer: string, now: number): void {
    for (const message of messages)
      this.keep(message, peer, now)
    this.receiveAnswer(messages, now)
  }

  /** Applies the refusals that the coordinator passed on. */
  receiveAnswer(messages: readonly RefusalMessage[], now: number): void {
    for (const { fingerprint, delayMs } of messages)
      this.memory.recordRefusal(fingerprint, delayMs, now)
  }

  private keep({ fingerprint, delayMs }: RefusalMessage, origin: string | undefined, now: number): void {
    this.kept.push({ fingerprint, delayMs, origin, keptAt: now, sequence: ++this.sequence })
    if (this.kept.length > MAX_KEPT)
      this.kept.splice(0, MAX_KEPT / 2)
  }

  private newest(sent: Map<string, number>, peer: string, isShared: (refusal: KeptRefusal) => boolean, now: number): RefusalMessage[] | undefined {
    const after = sent.get(peer) ?? 0
    sent.set(peer, this.sequence)
    const messages: RefusalMessage[] = []
    for (let index = this.kept.length - 1; index >= 0 && messages.length < MAX_REFUSALS; index--) {
      const refusal = this.kept[index]
      const ageMs = now - refusal.keptAt
      if (refusal.sequence <= after || ageMs >= SHARED_FOR_MS)
        break
      if (isShared(refusal))
        messages.push({ fingerprint: refusal.fingerprint, delayMs: Math.max(0, Math.round(refusal.delayMs - ageMs)) })
    }
    return messages.length > 0 ? messages : undefined
  }
}
