/**
 * Shares calls in flight through heartbeats: each gateway reports its own, and the
 * coordinator answers with the sums of the others. Owns the latest reports and
 * sums, in memory; all of them expire, so that a lost gateway or coordinator
 * leaves nothing behind.
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { CallsInFlight } from '../../connection/peers/load-message.js'
import type { OthersCount } from '../../request/load/requests-there.js'
import type { InFlightExchange } from './in-flight-exchange.js'
import { MAX_IN_FLIGHT_BACKENDS } from '../../connection/peers/load-message.js'
import { HEARTBEAT_INTERVAL_MS } from '../membership/failure-detection.js'

/** How long counts are used: as long as a heartbeat may be late. */
const LIFETIME_MS = 500
/** Mean age of the reports in an answer. */
const MEAN_REPORT_AGE_MS = HEARTBEAT_INTERVAL_MS / 2
/** Reports are summed up at most this often, for the cost of it with many gateways. */
const SUM_INTERVAL_MS = 20

/** Calls in flight, by incarnation of the backend server. */
type CallCounts = Map<string, CallsInFlight>

interface Counts {
  /** Monotonic time in milliseconds at which they were valid. */
  at: number
  calls: CallCounts
  /** Whether backend servers may be missing, because the message is full. */
  isFull: boolean
}

const NO_COUNTS: Counts = { at: Number.NEGATIVE_INFINITY, calls: new Map(), isFull: false }

/** What is known of this process. */
export interface SharedInFlightSources {
  /** Backend servers with calls of this process in flight, without those whose load a coordinator of stage work knows. */
  called: () => readonly Backend[]
  /** Whether this process sums up the reports of the others. */
  isCoordinator: () => boolean
}

/** Reports and sums up calls in flight. */
export class SharedInFlight implements InFlightExchange {
  private readonly reports = new Map<string, Counts>()
  /** Sums of all reports. */
  private reported = NO_COUNTS
  /** The reports in these sums. */
  private summed: ReadonlyMap<string, Counts> = new Map()
  private summedAt = Number.NEGATIVE_INFINITY
  /** Sums that the coordinator answered. */
  private answered = NO_COUNTS

  constructor(private readonly sources: SharedInFlightSources) {}

  messages(): CallsInFlight[] | undefined {
    return toMessages(this.ownCalls())
  }

  messagesFor(peer: string, now: number): CallsInFlight[] | undefined {
    const sums: CallCounts = new Map()
    add(sums, this.ownCalls())
    add(sums, this.sumReports(now).calls.values())
    add(sums, this.summed.get(peer)?.calls.values() ?? [], -1)
    return toMessages([...sums.values()].filter(({ calls }) => calls > 0))
  }

  receive(messages: readonly CallsInFlight[], peer: string, now: number): void {
    this.reports.set(peer, toCounts(messages, now))
  }

  /** An empty answer may come from a coordinator that sums up nothing, so it changes nothing. */
  receiveSums(messages: readonly CallsInFlight[], now: number): void {
    if (messages.length > 0)
      this.answered = toCounts(messages, now - MEAN_REPORT_AGE_MS)
  }

  /** Whether the calls of the other gateways are known. */
  isFresh(now: number): boolean {
    return now - this.latest(now).at < LIFETIME_MS
  }

  /** Calls of the other gateways to a backend server; undefined if unknown. */
  others({ incarnation }: Backend, now: number): OthersCount | undefined {
    const { at, calls, isFull } = this.latest(now)
    const count = calls.get(incarnation)?.calls ?? (isFull ? undefined : 0)
    return count === undefined || now - at >= LIFETIME_MS ? undefined : { requests: count, at }
  }

  private latest(now: number): Counts {
    return this.sources.isCoordinator() ? this.sumReports(now) : this.answered
  }

  /** The sums of all reports that have not expired; valid since the oldest of these. */
  private sumReports(now: number): Counts {
    if (now - this.summedAt < SUM_INTERVAL_MS && now - this.reported.at < LIFETIME_MS)
      return this.reported
    this.summedAt = now
    this.reported = { at: now, calls: new Map(), isFull: false }
    for (const [peer, { at, calls, isFull }] of this.reports) {
      if (now - at >= LIFETIME_MS) {
        this.reports.delete(peer)
        continue
      }
      add(this.reported.calls, calls.values())
      this.reported.at = Math.min(this.reported.at, at)
      this.reported.isFull ||= isFull
    }
    this.summed = new Map(this.reports)
    if (this.reports.size === 0)
      this.reported = NO_COUNTS
    return this.reported
  }

  private ownCalls(): CallsInFlight[] {
    return this.sources.called().map(({ id, incarnation, outstanding }) => ({ backend: id, life: incarnation, calls: outstanding }))
  }
}

function add(sums: CallCounts, messages: Iterable<CallsInFlight>, factor = 1): void {
  for (const message of messages)
    sums.set(message.life, { ...message, calls: (sums.get(message.life)?.calls ?? 0) + message.calls * factor })
}

function toCounts(messages: readonly CallsInFlight[], at: number): Counts {
  return { at, calls: new Map(messages.map(message => [message.life, message])), isFull: messages.length === MAX_IN_FLIGHT_BACKENDS }
}

/** Those with the most calls; undefined if there are none. */
function toMessages(calls: readonly CallsInFlight[]): CallsInFlight[] | undefined {
  const most = calls.toSorted((left, right) => right.calls - left.calls).slice(0, MAX_IN_FLIGHT_BACKENDS)
  return most.length > 0 ? most : undefined
}
