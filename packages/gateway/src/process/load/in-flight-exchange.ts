/**
 * Shares between gateways how many calls each has in flight at the backend
 * servers: each gateway reports its own in heartbeats, and the coordinator
 * answers with the sums of the others.
 */
import type { CallsInFlight } from '../../connection/peers/load-message.js'

/** Reports own calls in flight, and applies the reports of peers. Times are on the monotonic clock, in milliseconds. */
export interface InFlightExchange {
  /** Returns this gateway's own calls; undefined if there are none. */
  messages: (now: number) => CallsInFlight[] | undefined
  /** Returns the sums of all gateways but this peer; undefined if there are none. */
  messagesFor: (peer: string, now: number) => CallsInFlight[] | undefined
  /** Applies a peer's own calls, empty if it reports none. */
  receive: (messages: readonly CallsInFlight[], peer: string, now: number) => void
  /** Applies the sums of the other gateways, as answered by the coordinator. */
  receiveSums: (messages: readonly CallsInFlight[], now: number) => void
}

/** Reports nothing, and ignores what peers report. */
export class NoInFlightExchange implements InFlightExchange {
  messages(): undefined {}

  messagesFor(): undefined {}

  receive(): void {}

  receiveSums(): void {}
}
