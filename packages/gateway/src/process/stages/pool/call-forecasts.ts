/**
 * When each usable backend server of a pool can start its next call, evaluated
 * once for all decisions of a dispatch.
 */

/** Expected availability of a backend server; `now` is in milliseconds on the monotonic clock. */
export interface BackendForecast {
  readonly failureDomain: string
  isUsable: (now: number) => boolean
  /** Milliseconds until another call can start. */
  msUntilNextCall: (now: number) => number
  /** Expected duration of a call with some items, in milliseconds. */
  expectedCallMs: (items: number) => number
}

/** The usable backend servers, and when each can start a call. */
export class CallForecasts<Forecast extends BackendForecast = BackendForecast> {
  private readonly entries: { startsInMs: number, forecast: Forecast }[] = []

  constructor(forecasts: Iterable<Forecast>, now: number) {
    for (const forecast of forecasts) {
      if (forecast.isUsable(now))
        this.entries.push({ startsInMs: forecast.msUntilNextCall(now), forecast })
    }
  }

  /** The usable backend servers of a failure domain. */
  inDomain(failureDomain: string): Forecast[] {
    return this.entries.flatMap(({ forecast }) => forecast.failureDomain === failureDomain ? [forecast] : [])
  }

  /** Number of backend servers that can start a call within some milliseconds. */
  countStartingWithin(milliseconds: number): number {
    return this.entries.filter(({ startsInMs }) => startsInMs <= milliseconds).length
  }

  /** The failure domain of the first backend server that satisfies the predicate. */
  find(predicate: (failureDomain: string, startsInMs: number, forecast: Forecast) => boolean): string | undefined {
    for (const { startsInMs, forecast } of this.entries) {
      if (predicate(forecast.failureDomain, startsInMs, forecast))
        return forecast.failureDomain
    }
    return undefined
  }
}
