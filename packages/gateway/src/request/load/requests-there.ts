/**
 * Decides how many requests of other gateways are assumed at a backend server.
 *
 * Load: many gateways send to the same backend servers, and each knows only its
 * own calls and the reports in its own answers.
 * Inputs: the load in the latest response (requests, as old as that response),
 * the calls in flight of the other gateways by the load exchange (up to
 * EXCHANGE_LIFETIME_MS old), and refusals for lack of room (as of now).
 * Rule: the newest of the three. It is valid now and approaches the mean of
 * earlier reports within about the time of one request, since what was there
 * ends and others send as before. Own calls are added by the caller, so that
 * no report, however wrong, hides them.
 * Why: an old report taken as current makes all gateways avoid an idle server or
 * go to the same busy one.
 * Log event: `route` (`expectedMs`).
 */

/** How long a count of the load exchange is used: as long as a heartbeat may be late. */
const EXCHANGE_LIFETIME_MS = 500
/** Weight of the newest count in the mean; about ten count. */
const MEAN_WEIGHT = 0.1
/** In this time without a count, half of the mean is forgotten: the others may have stopped. */
const MEAN_HALF_LIFE_MS = 1000

/** A count of requests of other gateways at one backend server. */
export interface OthersCount {
  requests: number
  /** When it was valid, in milliseconds on the monotonic clock. */
  at: number
}

/** The requests of other gateways at one backend server. */
export class OthersThere {
  private readonly reported = new RequestCounts()
  private readonly exchanged = new RequestCounts()

  /** Records what a report or a refusal tells. */
  recordReport(count: OthersCount): void {
    this.reported.record(count)
  }

  /** Records a count of the load exchange. */
  recordExchange(count: OthersCount): void {
    this.exchanged.record(count)
  }

  /** The expected number of requests; `turnoverMs` is the time in which the backend server finishes one request. */
  estimate(turnoverMs: number, now: number): number {
    const { reported, exchanged } = this
    const usesExchange = now - exchanged.at < EXCHANGE_LIFETIME_MS && exchanged.at >= reported.at
    return (usesExchange ? exchanged : reported).estimate(turnoverMs, now)
  }
}

/** Counts from one source: the newest, and their mean. */
class RequestCounts {
  at = Number.NEGATIVE_INFINITY
  private latest = 0
  private mean = 0

  record({ requests, at }: OthersCount): void {
    if (at <= this.at)
      return
    this.mean += (requests - this.mean) * MEAN_WEIGHT
    this.latest = requests
    this.at = at
  }

  estimate(turnoverMs: number, now: number): number {
    const mean = this.mean * 0.5 ** ((now - this.at) / MEAN_HALF_LIFE_MS)
    return mean + (this.latest - mean) * Math.exp(-(now - this.at) / turnoverMs)
  }
}
