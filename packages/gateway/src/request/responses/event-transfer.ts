/**
 * Limits the time in which an event of a stream arrives once it has begun, without
 * the time in which its client takes earlier events. Holds one timer, while an
 * event is incomplete.
 */
export class EventTransfer {
  private timer: NodeJS.Timeout | undefined
  private expired = false

  /** @param maxMs Time from the first byte of an event to its last. */
  constructor(private readonly maxMs: number, private readonly abort: () => void) {}

  /** Why the call was aborted; undefined if it was not. */
  get failure(): string | undefined {
    return this.expired ? `an event of the stream did not end within ${this.maxMs} ms` : undefined
  }

  /** An event is incomplete. */
  begin(): void {
    this.timer ??= setTimeout(() => this.expire(), this.maxMs)
  }

  /** The event is complete, or the stream is over. */
  end(): void {
    clearTimeout(this.timer)
    this.timer = undefined
  }

  private expire(): void {
    this.expired = true
    this.abort()
  }
}
