/**
 * A request or stage call to a backend server, from the choice of the backend
 * server to the first byte sent. A call is queued in the connection pool while
 * all connections are in use or one is being established.
 *
 * The backend server was chosen by its state at that time, so its state is
 * checked again: just before the first byte is sent, a call is rejected if its
 * backend server accepts no more work, or no request at the moment, and moves to
 * another connection if the one that it was given carried it before. Queued calls
 * are rejected as soon as their backend server starts to leave, or when the
 * caller aborts them, which undici alone would notice only once a connection is
 * free.
 *
 * If the process dies, a call that was still queued was never sent.
 */
import type { Dispatcher } from 'undici'
import type { Backend } from './backend.js'
import type { BackendConnection } from './connection-client.js'
import type { CallGuard } from './guarded-call.js'
import type { IntakeGate } from './intake-gate.js'
import type { UsedConnections } from './used-connections.js'
import { formatError } from '@eidermast/common'
import { CALL_NOT_SENT_CODE, CONNECTION_FAILED_CODE } from '../error-codes.js'
import { sendGuarded } from './guarded-call.js'
import { ConnectionChoice } from './used-connections.js'

/** A call that was rejected before its first byte was sent. */
export class CallNotSentError extends Error {
  readonly code = CALL_NOT_SENT_CODE

  constructor(
    reason: string,
    /** Whether the backend server accepts work in general, but no request at the moment (rate limit or backoff). */
    readonly isWithheld = false,
  ) {
    super(reason)
    this.name = 'CallNotSentError'
  }
}

/** A call whose connection could not be established, whatever the reason: its first byte was not sent. */
export class ConnectionFailedError extends Error {
  readonly code = CONNECTION_FAILED_CODE

  constructor(cause: unknown) {
    super(`the connection failed before the call was sent: ${formatError(cause)}`, { cause })
    this.name = 'ConnectionFailedError'
  }
}

/** A call that must not be written to the connection that it was given. */
class ConnectionAvoidedError extends Error {
  constructor() {
    super('the connection carried the same request before')
    this.name = 'ConnectionAvoidedError'
  }
}

/** undici's request options with a mandatory signal that aborts the call. */
export type WorkOptions = Dispatcher.RequestOptions & { signal: AbortSignal }

/** How long a call waited for a connection to its backend server. */
export interface CallStart {
  backend: Backend
  /** Milliseconds from the call until its first byte was sent or it was rejected. */
  waitedMs: number
}

/** Observes calls that wait and start; implemented by the process's log and metrics. */
export interface CallObserver {
  /** The number of calls that wait for a connection has changed by one. */
  waitingChanged: (difference: 1 | -1) => void
  /** Called just before the first byte of a call is written. */
  started: (start: CallStart) => void
  /** A call was rejected because its backend server accepts no more work, or no request at the moment. */
  rejected: (start: CallStart) => void
  /** A call avoids a connection that carried the same request before. */
  connectionAvoided: (start: CallStart) => void
}

/** Callbacks of one call. */
export interface WorkCallListener extends Pick<CallGuard, 'checkHead'> {
  /** The call stops waiting. */
  waitEnded: (call: WorkCall) => void
  /** The first byte is about to be sent. */
  sent?: () => void
}

/** A call that waits for a connection, and the ways in which the wait can end. */
export class WorkCall {
  private readonly calledAt = performance.now()
  private notSent: CallNotSentError | undefined
  private waiting = true
  private rejectWait: (error: CallNotSentError) => void = () => {}
  private readonly guard: CallGuard = {
    checkStart: connection => this.start(connection),
    checkHead: headers => this.listener.checkHead(headers),
  }

  constructor(
    private readonly backend: Backend,
    private readonly observer: CallObserver,
    private readonly intake: IntakeGate,
    private readonly listener: WorkCallListener,
    /** @default avoids no connection */
    private readonly usedConnections?: UsedConnections,
  ) {
    observer.waitingChanged(1)
  }

  /**
   * Sends the call through a pool; rejects like undici's `request`, with a
   * `ConnectionFailedError`, or with a `CallNotSentError`. A call that is rejected here also rejects in the pool
   * when it reaches the head of the queue; `Promise.race` handles that rejection.
   */
  async send(pool: Dispatcher, options: WorkOptions): Promise<Dispatcher.ResponseData> {
    const abandon = (): void => this.rejectUnsent('call aborted while waiting for a connection')
    const rejection = new Promise<never>((_, reject) => {
      this.rejectWait = reject
    })
    options.signal.addEventListener('abort', abandon)
    try {
      return await Promise.race([this.sendOnUnused(pool, options), rejection])
    }
    catch (error) {
      throw this.waiting ? new ConnectionFailedError(error) : error
    }
    finally {
      options.signal.removeEventListener('abort', abandon)
      this.endWait()
    }
  }

  /** Sends the call again until it is given a connection that it may use; each one that it avoids is closed. */
  private async sendOnUnused(pool: Dispatcher, options: WorkOptions): Promise<Dispatcher.ResponseData> {
    for (;;) {
      try {
        return await sendGuarded(pool, options, this.guard)
      }
      catch (error) {
        if (!(error instanceof ConnectionAvoidedError))
          throw error
      }
    }
  }

  /** Ends the wait, if it has not ended yet, because the backend server accepts no more work. */
  reject(): void {
    if (!this.waiting)
      return
    this.observer.rejected(this.describe())
    this.rejectUnsent(`${this.backend.id} accepts no more work`)
  }

  /** Runs just before the first byte is written; throws if the call must not be sent. */
  private start(connection: BackendConnection | undefined): void {
    if (!this.backend.acceptsWork)
      this.reject()
    else if (this.waiting && this.intake.waitMs(this.backend) > 0)
      this.withhold()
    if (this.notSent)
      throw this.notSent
    if (connection && this.usedConnections?.choose(connection) === ConnectionChoice.Avoid)
      this.avoid(connection)
    this.endWait()
    this.intake.recordSent(this.backend)
    this.listener.sent?.()
    this.observer.started(this.describe())
  }

  private avoid(connection: BackendConnection): never {
    this.observer.connectionAvoided(this.describe())
    connection.close()
    throw new ConnectionAvoidedError()
  }

  private withhold(): void {
    this.observer.rejected(this.describe())
    this.rejectUnsent(`${this.backend.id} accepts no request at the moment`, true)
  }

  private rejectUnsent(reason: string, isWithheld = false): void {
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
    this.observer.waitingChanged(-1)
    this.listener.waitEnded(this)
  }

  private describe(): CallStart {
    return { backend: this.backend, waitedMs: performance.now() - this.calledAt }
  }
}
