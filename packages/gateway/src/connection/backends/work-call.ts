/**
 * One call that brings work to a backend server, from the choice of the server
 * to the first byte of the request. A call waits in its server's pool while all
 * connections are taken or one is being set up. It owns nothing but that wait;
 * when the process dies, a call that still waited was never sent.
 */
import type { Dispatcher } from 'undici'
import type { Backend } from './backend.js'
import { DecoratorHandler } from 'undici'

/** How long a call waited, and for whom. */
export interface CallStart {
  backend: Backend
  /** Milliseconds from the call to its first byte. */
  waitedMs: number
}

/** Takes notice of calls that wait and start; implemented by the process's log and metrics. */
export interface CallWatch {
  /** One more call waits for a connection, or one less. */
  waitingChanged: (difference: 1 | -1) => void
  /** The first byte of a call is about to be written. */
  started: (start: CallStart) => void
}

/** A call that waits for its connection. */
export class WorkCall {
  private readonly calledAt = performance.now()
  private waiting = true

  constructor(private readonly backend: Backend, private readonly watch: CallWatch) {
    watch.waitingChanged(1)
  }

  /** Sends the call through a pool; rejects as undici's `request` does. */
  async send(pool: Dispatcher, options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
    const watched = pool.compose(dispatch => (call, handler) => dispatch(call, watchStart(handler, () => this.start())))
    try {
      return await watched.request(options)
    }
    finally {
      this.endWait()
    }
  }

  private start(): void {
    this.endWait()
    this.watch.started({ backend: this.backend, waitedMs: performance.now() - this.calledAt })
  }

  private endWait(): void {
    if (!this.waiting)
      return
    this.waiting = false
    this.watch.waitingChanged(-1)
  }
}

/** A handler that is told just before the first byte of its request is written. */
function watchStart(handler: Dispatcher.DispatchHandler, beforeFirstByte: () => void): Dispatcher.DispatchHandler {
  const watched: Dispatcher.DispatchHandler = new DecoratorHandler(handler)
  const startRequest = watched.onRequestStart?.bind(watched)
  watched.onRequestStart = (controller, context) => {
    beforeFirstByte()
    startRequest?.(controller, context)
  }
  return watched
}
