/**
 * A retry that the budget allows, from the decision until its call is sent or
 * dropped. Its stage results may be recreated and its call may wait for a
 * connection in between, which can take seconds.
 */

/** A retry that counts against the budget. */
export class RetryReservation {
  private isOpen = true

  /** Takes the callbacks for the two ways in which a reservation ends. */
  constructor(private readonly onSent: () => void, private readonly onReleased: () => void) {}

  /** The call is being sent. Later calls of either method have no effect. */
  spend(): void {
    this.end(this.onSent)
  }

  /** The call will not be sent. */
  release(): void {
    this.end(this.onReleased)
  }

  private end(callback: () => void): void {
    if (!this.isOpen)
      return
    this.isOpen = false
    callback()
  }
}
