/**
 * Sends a call to a backend server under a guard, which may refuse the call just
 * before its first byte, and its response as soon as the head has arrived; a head
 * that is not valid HTTP is refused for every call. undici
 * closes the connection of a refused response at once, whatever of it has arrived:
 * closing its body does nothing if the response arrived whole, and the connection
 * would be used again while the backend server still works on the call.
 *
 * State: the timer of an incomplete head, until the call ends.
 */
import type { Dispatcher } from 'undici'
import type { ResponseHeaders } from './backend-notice.js'
import type { BackendConnection, ConnectionSlot, SlottedOptions } from './connection-client.js'
import { assertValidHead, FIRST_FINAL_STATUS } from '@eidermast/common'
import { DecoratorHandler } from 'undici'

/**
 * Time from the first byte of a response head to its last. Servers write a head at
 * once; allows for a lost packet that is sent again.
 */
const MAX_HEAD_MS = 1000

/**
 * Bytes of a body that undici reads ahead of its reader. Bounds the memory of
 * bodies that wait for room, on all connections together.
 */
const MAX_UNREAD_BODY_BYTES = 16_384

/** Checks of one call. */
export interface CallGuard {
  /**
   * Runs just before the first byte is written; throws if the call must not be
   * sent. The connection is undefined if the dispatcher does not show it.
   * @default sends the call
   */
  checkStart?: (connection: BackendConnection | undefined) => void
  /** Throws if the response is not the response to this call; its connection is then closed. */
  checkHead: (headers: ResponseHeaders) => void
}

/** Sends a call; rejects like undici's `request`, or with the error of the guard. */
export function sendGuarded(dispatcher: Dispatcher, options: Dispatcher.RequestOptions, guard: CallGuard): Promise<Dispatcher.ResponseData> {
  const slot: ConnectionSlot = {}
  const guarded = dispatcher.compose(dispatch => (call, handler) => dispatch(call, new GuardedHandler(handler, guard, slot)))
  const slotted: Dispatcher.RequestOptions & SlottedOptions = { ...options, slot, highWaterMark: MAX_UNREAD_BODY_BYTES }
  return guarded.request(slotted)
}

/** Applies a guard and the limits of a head to the events of one call. */
class GuardedHandler implements Dispatcher.DispatchHandler {
  private readonly handler: Dispatcher.DispatchHandler
  private connection: BackendConnection | undefined
  private controller: Dispatcher.DispatchController | undefined
  private headTimer: NodeJS.Timeout | undefined

  constructor(handler: Dispatcher.DispatchHandler, private readonly guard: CallGuard, private readonly slot: ConnectionSlot) {
    this.handler = new DecoratorHandler(handler)
  }

  onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
    this.connection = this.slot.client?.connection
    this.guard.checkStart?.(this.connection)
    this.controller = controller
    this.connection?.beginCall()
    this.handler.onRequestStart?.(controller, context)
  }

  /** The first byte of a head has arrived, of an interim response too. */
  onResponseStarted(): void {
    this.headTimer = setTimeout(() => this.controller?.abort(new Error(`the response head did not end within ${MAX_HEAD_MS} ms`)), MAX_HEAD_MS)
  }

  /** Interim responses are dropped: no caller needs them, and `DecoratorHandler` accepts one head only. */
  onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: ResponseHeaders, message?: string): void {
    clearTimeout(this.headTimer)
    assertValidHead({ status, headers })
    if (status < FIRST_FINAL_STATUS)
      return
    this.guard.checkHead(headers)
    this.handler.onResponseStart?.(controller, status, headers, message)
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.connection?.countBody(chunk.length)
    this.handler.onResponseData?.(controller, chunk)
  }

  /** undici takes the end of a connection for that of a response without a length, also if it was a reset. */
  onResponseEnd(controller: Dispatcher.DispatchController, trailers: ResponseHeaders): void {
    if (this.connection?.wasReset)
      this.handler.onResponseError?.(controller, new Error('the connection was reset before the end of the response'))
    else
      this.handler.onResponseEnd?.(controller, trailers)
  }

  onResponseError(controller: Dispatcher.DispatchController, error: Error): void {
    clearTimeout(this.headTimer)
    this.handler.onResponseError?.(controller, error)
  }
}
