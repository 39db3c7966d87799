/**
 * Records when gateways were disrupted in a soak test, because time bounds only
 * apply to connected gateways.
 */

/** A disruption of one gateway, or of all if `gateway` is undefined; in milliseconds of the test clock. */
export interface Trouble {
  gateway: number | undefined
  from: number
  to: number
}

/** Log of disruptions. */
export class SoakTroubles {
  private readonly troubles: Trouble[] = []

  /** @param contactMs Time after a disruption until a gateway counts as connected again. */
  constructor(private readonly contactMs: number) {}

  add(gateway: number | undefined, from: number, to: number): void {
    this.troubles.push({ gateway, from, to })
  }

  /** Records a disruption that starts now; the caller sets its end. */
  begin(gateway?: number): Trouble {
    const trouble = { gateway, from: performance.now(), to: Number.POSITIVE_INFINITY }
    this.troubles.push(trouble)
    return trouble
  }

  /** Whether a gateway, or every gateway if `gateway` is undefined, was connected at a given time. */
  isInTouch(gateway: number | undefined, at: number): boolean {
    return !this.troubles.some(trouble => (gateway === undefined || trouble.gateway === undefined || trouble.gateway === gateway)
      && trouble.from < at && trouble.to + this.contactMs > at)
  }

  /** Whether a gateway was disrupted between two times. */
  overlaps(gateway: number, from: number, to: number): boolean {
    return this.troubles.some(trouble => trouble.gateway === gateway && trouble.from < to && trouble.to > from)
  }
}
