/**
 * Records when gateways were disrupted in a soak test, because time bounds only
 * apply to connected gateways.
 */

/** A disruption of one gateway, or of all if `gateway` is undefined; in milliseconds of the test clock. */
export interface Disruption {
  gateway: number | undefined
  from: number
  to: number
}

/** Log of disruptions. */
export class SoakDisruptions {
  private readonly disruptions: Disruption[] = []

  /** @param contactMs Time after a disruption until a gateway counts as connected again. */
  constructor(private readonly contactMs: number) {}

  add(gateway: number | undefined, from: number, to: number): void {
    this.disruptions.push({ gateway, from, to })
  }

  /** Records a disruption that starts now; the caller sets its end. */
  begin(gateway?: number): Disruption {
    const disruption = { gateway, from: performance.now(), to: Number.POSITIVE_INFINITY }
    this.disruptions.push(disruption)
    return disruption
  }

  /** Whether a gateway, or every gateway if `gateway` is undefined, was connected at a given time. */
  wasConnected(gateway: number | undefined, at: number): boolean {
    return !this.disruptions.some(disruption => (gateway === undefined || disruption.gateway === undefined || disruption.gateway === gateway)
      && disruption.from < at && disruption.to + this.contactMs > at)
  }

  /** Whether a gateway was disrupted between two times. */
  overlaps(gateway: number, from: number, to: number): boolean {
    return this.disruptions.some(disruption => disruption.gateway === gateway && disruption.from < to && disruption.to > from)
  }
}
