/**
 * Stand-in for a backend server that uses the platform's protocol: plain responses
 * and event streams, with injectable faults.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Buffer } from 'node:buffer'
import { createServer } from 'node:http'
import { wait } from '@eidermast/common'

/** A request as received by the backend server. */
export interface ReceivedRequest {
  method: string
  path: string
  headers: IncomingMessage['headers']
  body: string
  /** Monotonic time of arrival in milliseconds. */
  at: number
}

/** Handles a request. */
export type RequestHandler = (request: ReceivedRequest, response: ServerResponse) => void | Promise<void>

/** Header with the request's id, which a response echoes; empty for probes and stage calls, which have no id. */
export function requestIdHeader(request: ReceivedRequest): Record<string, string> {
  const id = request.headers['attempt-id']
  return typeof id === 'string' ? { 'Attempt-Id': id } : {}
}

/** Sends a complete response that names the path of the request. */
export function answerCompletely(status = 200): RequestHandler {
  return (request, response) => {
    response.writeHead(status, { ...requestIdHeader(request), 'Server-Signature': 'signed' })
    response.end(`answer to ${request.path}`)
  }
}

/** Breaks the connection in `broken` of `runs` runs, whichever backend servers make them, and answers the others completely. */
export function breakRuns(broken: number, runs: number, workMs: number): RequestHandler {
  let started = 0
  return async (seen, response) => {
    const isBroken = started++ % runs < broken
    await wait(workMs)
    if (isBroken)
      return void response.destroy()
    await answerCompletely()(seen, response)
  }
}

/** Streams the events after the request's `Last-Event-Id`, and breaks the connection after event `breakAfter`. */
export function streamEvents(count: number, breakAfter = Number.POSITIVE_INFINITY): RequestHandler {
  return async (request, response) => {
    const from = Number(request.headers['last-event-id'] ?? 0)
    response.writeHead(200, { ...requestIdHeader(request), 'Server-Signature': 'signed', 'Content-Type': 'text/event-stream' })
    for (let id = from + 1; id <= count; id++) {
      if (id > breakAfter) {
        response.write(`id: ${id}\nda`)
        await wait(20)
        return void response.destroy()
      }
      response.write(`id: ${id}\ndata: ${id}\n\n`)
      await wait(5)
    }
    response.end()
  }
}

/** Sends a response without a length, which ends when the connection is closed. */
export function answerUnframed(body: string): RequestHandler {
  return (request, response) => {
    response.socket!.end(`HTTP/1.1 200 OK\r\nAttempt-Id: ${request.headers['attempt-id']}\r\nServer-Signature: signed\r\n\r\n${body}`)
  }
}

/** Never responds; calls back when the connection is closed. */
export function hang(onClose: () => void): RequestHandler {
  return (_, response) => void response.on('close', onClose)
}

/** More than gateways accept, since they add headers. */
const MAX_HEAD_BYTES = 65_536

/** Backend server on its own port. */
export class StandInBackend {
  readonly seen: ReceivedRequest[] = []
  respond: RequestHandler = answerCompletely()
  /** Version of its software; its entry names none if undefined. */
  softwareVersion: string | undefined
  private readonly server: Server

  constructor(readonly id: string, readonly service: string, readonly failureDomain = 'zone-a') {
    this.server = createServer({ maxHeaderSize: MAX_HEAD_BYTES }, (request, response) => {
      const chunks: Buffer[] = []
      request.on('error', () => {})
      request.on('data', chunk => chunks.push(chunk))
      request.on('end', () => {
        const seen = { method: request.method!, path: request.url!, headers: request.headers, body: Buffer.concat(chunks).toString(), at: performance.now() }
        this.seen.push(seen)
        void this.respond(seen, response)
      })
    })
    // Otherwise Node drops header lines beyond its limit.
    this.server.maxHeadersCount = 0
  }

  async start(): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', () => resolve()))
  }

  /** Refuses new connections, as after the death of its process; open ones stay. */
  async stopListening(): Promise<void> {
    await new Promise(resolve => this.server.close(resolve))
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }

  /** Creates its entry for the store; `coldMs` is the remaining time of its cold start. */
  entry(state = 'ready', coldMs = 0): object {
    return { ColdRemainingMs: coldMs, Service: this.service, Address: `127.0.0.1:${(this.server.address() as AddressInfo).port}`, Zone: this.failureDomain, Version: this.softwareVersion, Capacity: 4, State: state }
  }
}
