/**
 * When gateways of a soak were in trouble: bounds in time hold only for those
 * that are in touch.
 */

/** A time of trouble of a gateway, or of all where none is named; in milliseconds of the test's clock. */
export interface Trouble {
  gateway: number | undefined
  from: number
  to: number
}

/** Remembers troubles. */
export class SoakTroubles {
  private readonly troubles: Trouble[] = []

  /** Takes the milliseconds after the end of its trouble from which a gateway is in touch. */
  constructor(private readonly contactMs: number) {}

  add(gateway: number | undefined, from: number, to: number): void {
    this.troubles.push({ gateway, from, to })
  }

  /** Trouble that begins now; its caller sets the end. */
  begin(gateway?: number): Trouble {
    const trouble = { gateway, from: performance.now(), to: Number.POSITIVE_INFINITY }
    this.troubles.push(trouble)
    return trouble
  }

  /** Whether a gateway, or each of them where the sender is not known, has been in touch at a moment. */
  isInTouch(gateway: number | undefined, at: number): boolean {
    return !this.troubles.some(trouble => (gateway === undefined || trouble.gateway === undefined || trouble.gateway === gateway)
      && trouble.from < at && trouble.to + this.contactMs > at)
  }

  /** Whether a gateway was in trouble between two moments. */
  overlaps(gateway: number, from: number, to: number): boolean {
    return this.troubles.some(trouble => trouble.gateway === gateway && trouble.from < to && trouble.to > from)
  }
}
