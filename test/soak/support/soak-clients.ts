/**
 * Clients for soak tests: send requests of three kinds and record the answers,
 * which the tests compare with the requests that backend servers received.
 */
import type { GatewayChild } from './gateway-child.js'
import { request } from 'undici'

/** Kinds of requests. */
export enum RequestKind {
  /** Must not run more than once. */
  Once = 'once',
  /** May run more than once. */
  Plain = 'plain',
  /** A resumable stream that follows a stage. */
  Stream = 'stream',
}

/** A request and the answer to it. */
export interface SentRequest {
  id: string
  kind: RequestKind
  /** Index of the gateway that it was sent to. */
  gateway: number
  /** Milliseconds of the test clock. */
  sentAt: number
  /** Undefined if the connection ended before the response headers. */
  status?: number
  echoedId?: string
  /** Undefined if the body was not received completely. */
  body?: string
}

/** Draws a random integer in the range [0, bound). */
export type Draw = (bound: number) => number

const KINDS = Object.values(RequestKind)
const SEND_INTERVAL_MS = 15

/** Sends requests until `stop` is called. */
export class SoakClients {
  readonly requests: SentRequest[] = []
  private readonly pending = new Set<Promise<void>>()
  private timer: NodeJS.Timeout | undefined
  private sentCount = 0

  constructor(private readonly gateways: readonly GatewayChild[], private readonly draw: Draw) {}

  start(): void {
    this.timer = setInterval(() => this.send(), SEND_INTERVAL_MS)
  }

  /** Stops sending and waits for pending requests. */
  async stop(): Promise<void> {
    clearInterval(this.timer)
    await Promise.all(this.pending)
  }

  /** Returns the index of the gateway that a request was sent to; undefined if no client sent the id. */
  gatewayOf(id: string): number | undefined {
    return this.requests.find(sent => sent.id === id)?.gateway
  }

  private send(): void {
    const kind = KINDS[this.draw(KINDS.length)]
    const gateway = this.draw(this.gateways.length)
    const sentRequest: SentRequest = { id: `${kind}-${this.sentCount++}`, kind, gateway, sentAt: performance.now() }
    this.requests.push(sentRequest)
    // A failed call leaves the status or the body undefined, which the checks take into account.
    const call = this.call(this.gateways[gateway].address, sentRequest).catch(() => {}).finally(() => this.pending.delete(call))
    this.pending.add(call)
  }

  private async call(address: string, sentRequest: SentRequest): Promise<void> {
    const response = await request(`${address}/${sentRequest.kind}/${sentRequest.id}`, {
      method: 'POST',
      headers: { 'host': 'host.example', 'attempt-id': sentRequest.id, 'deadline-ms': '3000', 'chunk-count': '2', 'chunk-key': 'key' },
      body: 'body',
      signal: AbortSignal.timeout(5000),
    })
    sentRequest.status = response.statusCode
    sentRequest.echoedId = String(response.headers['attempt-id'])
    sentRequest.body = await response.body.text()
  }
}
