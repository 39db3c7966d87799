/**
 * What is expected of the usable backend servers of a pool at one moment, for
 * everything that is weighed then.
 */

/** What is expected of a backend server; times are on the process clock, in milliseconds. */
export interface BackendForecast {
  readonly failureDomain: string
  isUsable: (now: number) => boolean
  /** Milliseconds until it could start another call. */
  msUntilNextCall: (now: number) => number
  /** Expected time of a call, in milliseconds. */
  expectedCallMs: (items: number) => number
}

/** The usable backend servers, and when each could start a call. */
export class CallForecasts<Forecast extends BackendForecast = BackendForecast> {
  private readonly entries: { startsInMs: number, forecast: Forecast }[] = []

  constructor(forecasts: Iterable<Forecast>, now: number) {
    for (const forecast of forecasts) {
      if (forecast.isUsable(now))
        this.entries.push({ startsInMs: forecast.msUntilNextCall(now), forecast })
    }
  }

  /** Those of a failure domain. */
  inDomain(failureDomain: string): Forecast[] {
    return this.entries.flatMap(({ forecast }) => forecast.failureDomain === failureDomain ? [forecast] : [])
  }

  /** How many could start a call within some milliseconds. */
  countStartingWithin(milliseconds: number): number {
    return this.entries.filter(({ startsInMs }) => startsInMs <= milliseconds).length
  }

  /** The failure domain of the first backend server that suits; undefined where none does. */
  find(predicate: (failureDomain: string, startsInMs: number, forecast: Forecast) => boolean): string | undefined {
    for (const { startsInMs, forecast } of this.entries) {
      if (predicate(forecast.failureDomain, startsInMs, forecast))
        return forecast.failureDomain
    }
    return undefined
  }
}
