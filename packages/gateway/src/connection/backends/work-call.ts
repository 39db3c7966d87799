/**
 * One call that brings work to a backend server, from the choice of the server
 * to the first byte of the request. A call waits in its server's pool while all
 * connections are taken or one is being set up.
 *
 * The choice rests on what was known of the server then. It is looked at again
 * where it counts: a call whose server takes no more work, or none now, is
 * turned away just before its first byte, and at once while it waits for a
 * server that leaves. So is a call that its
 * caller abandons while it waits, which undici alone would notice only when a
 * connection is free.
 *
 * It owns nothing but that wait; when the process dies, a call that still
 * waited was never sent.
 */
import type { Dispatcher } from 'undici'
import type { Backend } from './backend.js'
import type { IntakeGate } from './intake-gate.js'
import { DecoratorHandler } from 'undici'
import { CALL_NOT_SENT_CODE } from '../error-codes.js'

/** A call that was turned away before its first byte. */
export class CallNotSentError extends Error {
  readonly code = CALL_NOT_SENT_CODE

  constructor(
    reason: string,
    /** Its backend server takes work, but no request now. */
    readonly isWithheld = false,
  ) {
    super(reason)
    this.name = 'CallNotSentError'
  }
}

/** A call of work: undici's options, and a signal to abandon it. */
export type WorkOptions = Dispatcher.RequestOptions & { signal: AbortSignal }

/** How long a call waited, and for whom. */
export interface CallStart {
  backend: Backend
  /** Milliseconds from the call to its first byte, or to its being turned away. */
  waitedMs: number
}

/** Takes notice of calls that wait and start; implemented by the process's log and metrics. */
export interface CallWatch {
  /** One more call waits for a connection, or one less. */
  waitingChanged: (difference: 1 | -1) => void
  /** The first byte of a call is about to be written. */
  started: (start: CallStart) => void
  /** A call was turned away because its backend server takes no more work, or none now. */
  turnedAway: (start: CallStart) => void
}

/** A call that waits for its connection, and what ends the wait. */
export class WorkCall {
  private readonly calledAt = performance.now()
  private notSent: CallNotSentError | undefined
  private waiting = true
  private rejectWait: (error: CallNotSentError) => void = () => {}

  constructor(
    private readonly backend: Backend,
    private readonly watch: CallWatch,
    private readonly intake: IntakeGate,
    /** Called when the call no longer waits. */
    private readonly waitEnded: (call: WorkCall) => void,
  ) {
    watch.waitingChanged(1)
  }

  /**
   * Sends the call through a pool; rejects as undici's `request` does, or with
   * a `CallNotSentError`. What loses the race is settled later and has a
   * handler here: a call that was turned away rejects in the pool too, when its
   * turn comes.
   */
  async send(pool: Dispatcher, options: WorkOptions): Promise<Dispatcher.ResponseData> {
    const abandon = (): void => this.endUnsent('abandoned before a connection was free')
    const turnedAway = new Promise<never>((_, reject) => {
      this.rejectWait = reject
    })
    const guarded = pool.compose(dispatch => (call, handler) => dispatch(call, guardStart(handler, () => this.start())))
    options.signal.addEventListener('abort', abandon)
    try {
      return await Promise.race([guarded.request(options), turnedAway])
    }
    finally {
      options.signal.removeEventListener('abort', abandon)
      this.endWait()
    }
  }

  /** Its backend server takes no more work: ends the wait, if it still lasts. */
  turnAway(): void {
    if (!this.waiting)
      return
    this.watch.turnedAway(this.describe())
    this.endUnsent(`${this.backend.id} takes no more work`)
  }

  /** Runs just before the first byte; throws where that must not be written. */
  private start(): void {
    if (!this.backend.takesWork)
      this.turnAway()
    else if (this.waiting && this.intake.waitMs(this.backend) > 0)
      this.withhold()
    if (this.notSent)
      throw this.notSent
    this.endWait()
    this.intake.noteSent(this.backend)
    this.watch.started(this.describe())
  }

  private withhold(): void {
    this.watch.turnedAway(this.describe())
    this.endUnsent(`${this.backend.id} takes no request now`, true)
  }

  private endUnsent(reason: string, isWithheld = false): void {
    if (!this.waiting)
      return
    this.notSent = new CallNotSentError(reason, isWithheld)
    this.endWait()
    this.rejectWait(this.notSent)
  }

  private endWait(): void {
    if (!this.waiting)
      return
    this.waiting = false
    this.watch.waitingChanged(-1)
    this.waitEnded(this)
  }

  private describe(): CallStart {
    return { backend: this.backend, waitedMs: performance.now() - this.calledAt }
  }
}

/** A handler that runs a check just before the first byte of its request; an error of the check ends the request unsent. */
function guardStart(handler: Dispatcher.DispatchHandler, check: () => void): Dispatcher.DispatchHandler {
  const guarded: Dispatcher.DispatchHandler = new DecoratorHandler(handler)
  const startRequest = guarded.onRequestStart?.bind(guarded)
  guarded.onRequestStart = (controller, context) => {
    check()
    startRequest?.(controller, context)
  }
  return guarded
}
