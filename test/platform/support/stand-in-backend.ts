/**
 * A small stand-in for a backend server behind the platform's wire: plain answers
 * and streams of events, with faults that a test decides.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Buffer } from 'node:buffer'
import { createServer } from 'node:http'
import { wait } from '@eidermast/common'

/** One request as the backend server got it. */
export interface SeenRequest {
  method: string
  path: string
  headers: IncomingMessage['headers']
  body: string
  /** When it came: milliseconds of the test's clock. */
  at: number
}

/** Answers one request. */
export type Respond = (request: SeenRequest, response: ServerResponse) => void | Promise<void>

/** The id that an answer echoes; probes carry none. */
function echoedId(request: SeenRequest): Record<string, string> {
  const id = request.headers['attempt-id']
  return typeof id === 'string' ? { 'Attempt-Id': id } : {}
}

/** Answers whole with the backend server's name. */
export function answerWhole(status = 200): Respond {
  return (request, response) => {
    response.writeHead(status, { ...echoedId(request), 'Server-Signature': 'signed' })
    response.end(`answer to ${request.path}`)
  }
}

/** Streams events after the one that the request names, and breaks off after some. */
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

/** Answers without a length; the end of the connection ends the answer. */
export function answerUnframed(body: string): Respond {
  return (request, response) => {
    response.socket!.end(`HTTP/1.1 200 OK\r\nAttempt-Id: ${request.headers['attempt-id']}\r\nServer-Signature: signed\r\n\r\n${body}`)
  }
}

/** Never answers; resolves when its caller has left. */
export function hang(left: () => void): Respond {
  return (_, response) => void response.on('close', left)
}

/** A backend server on a port of its own. */
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

  /** Its entry in the store; takes the milliseconds for which it is cold. */
  entry(state = 'ready', coldMs = 0): object {
    return { ColdRemainingMs: coldMs, Service: this.service, Address: `127.0.0.1:${(this.server.address() as AddressInfo).port}`, Zone: this.failureDomain, Capacity: 4, State: state }
  }
}
