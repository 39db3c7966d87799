/**
 * Shares one read among all who ask while it is under way, so that many of them
 * cost as much as one. Holds nothing between two reads.
 */

/** A read whose result may be shared. */
export class SharedRead<Result> {
  private reading: Promise<Result> | undefined

  constructor(private readonly start: () => Promise<Result>) {}

  /** Resolves with the result of the read under way, or of a new one. */
  read(): Promise<Result> {
    this.reading ??= this.start().finally(() => {
      this.reading = undefined
    })
    return this.reading
  }
}
