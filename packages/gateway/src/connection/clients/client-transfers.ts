/**
 * Tracks what clients send and read while a limit on held bytes is set, and ends
 * transfers of clients that stop. Lives as long as the server; a transfer is
 * tracked until its body is read or its answer closed.
 */
import type { EventLog, RequestError } from '@eidermast/common'
import type { IncomingMessage } from 'node:http'
import type { Result } from 'ts-results-es'
import type { ClientRequest } from './client-request.js'
import type { HttpClientResponse } from './http-client-response.js'
import type { OpenTransfer } from './open-transfers.js'
import type { ReadContext } from './request-reader.js'
import { createError, ErrorKind } from '@eidermast/common'
import { Err } from 'ts-results-es'
import { OpenTransfers } from './open-transfers.js'
import { readRequest } from './request-reader.js'

/** Counts clients that were cut off; implemented by the process's metrics. */
export interface ClientMetrics {
  countClientCutOff: () => void
}

/** A request that was read, or the error to reject it with; undefined if the client disconnected. */
type ReadResult = Result<ClientRequest, RequestError> | undefined

/** The transfers of all clients. */
export class ClientTransfers {
  private readonly transfers = new OpenTransfers()

  constructor(private readonly metrics: ClientMetrics, private readonly log: EventLog) {}

  /** Cuts off the client if it stops reading its answer; returns how to end this. */
  trackAnswer(response: HttpClientResponse): () => void {
    const transfer: OpenTransfer = {
      get progress() {
        return response.progress
      },
      updateHeldBytes: () => response.updateHeldBytes(),
      handleStall: ({ waitingBytes, stalledMs }) => {
        this.metrics.countClientCutOff()
        this.log.write('client-cut-off', { request: response.requestId, unreadBytes: waitingBytes, unreadMs: Math.round(stalledMs) })
        response.cutOff()
      },
    }
    this.transfers.add(transfer)
    return () => this.transfers.remove(transfer)
  }

  /** Reads a request like `readRequest`; returns an error if its client stops sending the body, which has taken room. */
  async readRequest(message: IncomingMessage, context: ReadContext): Promise<ReadResult> {
    let transfer: OpenTransfer | undefined
    const stalled = new Promise<ReadResult>((resolve) => {
      transfer = this.trackBody(message, context, error => resolve(Err(error)))
      this.transfers.add(transfer)
    })
    try {
      return await Promise.race([readRequest(message, context), stalled])
    }
    finally {
      this.transfers.remove(transfer!)
    }
  }

  stop(): void {
    this.transfers.stop()
  }

  private trackBody(message: IncomingMessage, { head }: ReadContext, refuse: (error: RequestError) => void): OpenTransfer {
    return {
      get progress() {
        return { waitingBytes: message.complete ? 0 : 1, movedBytes: message.socket.bytesRead, hasTurn: true }
      },
      // The whole body is counted since before it was read.
      updateHeldBytes: () => {},
      handleStall: ({ stalledMs }) => {
        this.metrics.countClientCutOff()
        this.log.write('body-stalled', { request: head.isOk() ? head.value.requestId : undefined, stalledMs: Math.round(stalledMs) })
        refuse(createError(ErrorKind.BodyStalled, 'the request body stopped coming; send the request again'))
      },
    }
  }
}
