/**
 * The load exchange between gateways: composes the field `load` of heartbeats and
 * of their replies, and applies what it carries. Each gateway reports to those
 * that it sends heartbeats to; only the answer of the overall coordinator is
 * applied. Holds no state of its own.
 */
import type { LoadMessage } from '../../connection/peers/load-message.js'
import type { DemandExchange } from './demand-exchange.js'
import type { InFlightExchange } from './in-flight-exchange.js'
import type { RefusalExchange } from './refusal-exchange.js'
import { loadMessageSchema } from '../../connection/peers/load-message.js'

/** The parts of the exchange; those that the settings do not switch on are absent. */
export interface LoadExchangeParts {
  demand?: DemandExchange
  refusals?: RefusalExchange
  inFlight: InFlightExchange
}

/** Composes and applies load messages. Times are on the monotonic clock, in milliseconds. */
export class LoadExchange {
  constructor(private readonly parts: LoadExchangeParts) {}

  /** This gateway's report for a heartbeat to a peer; undefined if there is nothing to report. */
  report(peer: string, now: number): LoadMessage | undefined {
    const { demand, refusals, inFlight } = this.parts
    return omitEmpty({ demand: demand?.message(now), refusals: refusals?.messages(peer, now), inFlight: inFlight.messages(now) })
  }

  /** The answer to the heartbeat of a peer; undefined if there is nothing to answer. */
  answerFor(peer: string, now: number): LoadMessage | undefined {
    const { demand, refusals, inFlight } = this.parts
    return omitEmpty({ shares: demand?.messageFor(peer, now), refusals: refusals?.messagesFor(peer, now), inFlight: inFlight.messagesFor(peer, now) })
  }

  /** Applies the report in a peer's heartbeat. */
  receiveReport(load: unknown, peer: string, now: number): void {
    const { demand, refusals = [], inFlight = [] } = validate(load)
    this.parts.demand?.receive(demand, peer, now)
    this.parts.refusals?.receive(refusals, peer, now)
    this.parts.inFlight.receive(inFlight, peer, now)
  }

  /** Applies the answer in the coordinator's reply. */
  receiveAnswer(load: unknown, now: number): void {
    const { shares, refusals = [], inFlight = [] } = validate(load)
    this.parts.demand?.receiveAnswer(shares, now)
    this.parts.refusals?.receiveAnswer(refusals, now)
    this.parts.inFlight.receiveSums(inFlight, now)
  }
}

/** A message that is absent or invalid counts as empty. */
function validate(load: unknown): LoadMessage {
  if (load === undefined)
    return {}
  const parsed = loadMessageSchema.safeParse(load)
  return parsed.success ? parsed.data : {}
}

function omitEmpty(message: LoadMessage): LoadMessage | undefined {
  return Object.values(message).some(part => part !== undefined) ? message : undefined
}
