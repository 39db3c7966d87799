/**
 * Stand-in for a backend server that uses the platform's protocol: plain
 * responses and event streams, with faults injected by tests.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Buffer } from 'node:buffer'
import { createServer } from 'node:http'
import { wait } from '@eidermast/common'

/** A request as received by the backend server. */
export interface SeenRequest {
  method: string
  path: string
  headers: IncomingMessage['headers']
  body: string
  /** When it arrived, in milliseconds of the test's clock. */
  at: number
}

/** Responds to one request. */
export type Respond = (request: SeenRequest, response: ServerResponse) => void | Promise<void>

/** The header that echoes the request id; probes have no id. */
function echoedId(request: SeenRequest): Record<string, string> {
  const id = request.headers['attempt-id']
  return typeof id === 'string' ? { 'Attempt-Id': id } : {}
}

/** Sends a complete response that contains the path. */
export function answerWhole(status = 200): Respond {
  return (request, response) => {
    response.writeHead(status, { ...echoedId(request), 'Server-Signature': 'signed' })
    response.end(`answer to ${request.path}`)
  }
}

/** Streams `count` events, from the one after the request's last event id; cuts the stream off within the event after `breakAfter`. */
export function streamEvents(count: number, breakAfter = Number.POSITIVE_INFINITY): Respond {
  return async (request, response) => {
    const from = Number(request.headers['last-event-id'] ?? 0)
    response.writeHead(200, { ...echoedId(request), 'Server-Signature': 'signed', 'Content-Type': 'text/event-stream' })
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

/** Sends a response without a length, which ends with its connection. */
export function answerUnframed(body: string): Respond {
  return (request, response) => {
    response.socket!.end(`HTTP/1.1 200 OK\r\nAttempt-Id: ${request.headers['attempt-id']}\r\nServer-Signature: signed\r\n\r\n${body}`)
  }
}

/** Never responds; calls `left` when the caller disconnects. */
export function hang(left: () => void): Respond {
  return (_, response) => void response.on('close', left)
}

/** A backend server that listens on its own port. */
export class StandInBackend {
  readonly seen: SeenRequest[] = []
  respond: Respond = answerWhole()
  private readonly server: Server

  constructor(readonly id: string, readonly service: string, readonly failureDomain = 'zone-a') {
    this.server = createServer((request, response) => {
      const chunks: Buffer[] = []
      request.on('error', () => {})
      request.on('data', chunk => chunks.push(chunk))
      request.on('end', () => {
        const seen = { method: request.method!, path: request.url!, headers: request.headers, body: Buffer.concat(chunks).toString(), at: performance.now() }
        this.seen.push(seen)
        void this.respond(seen, response)
      })
    })
  }

  async start(): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', () => resolve()))
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }

  /** Its entry in the store; `coldMs` is the time for which it is cold. */
  entry(state = 'ready', coldMs = 0): object {
    return { ColdRemainingMs: coldMs, Service: this.service, Address: `127.0.0.1:${(this.server.address() as AddressInfo).port}`, Zone: this.failureDomain, Capacity: 4, State: state }
  }
}
