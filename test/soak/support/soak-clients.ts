/**
 * Clients of a soak: they send requests of three kinds and keep the answers,
 * which a soak compares with what the backend servers saw.
 */
import type { GatewayChild } from './gateway-child.js'
import { request } from 'undici'

/** Kinds of requests. */
export enum RequestKind {
  /** May run once only. */
  Once = 'once',
  /** May run more than once. */
  Plain = 'plain',
  /** A stream after a stage, which may be resumed. */
  Stream = 'stream',
}

/** A request and the answer that its client got. */
export interface SentRequest {
  id: string
  kind: RequestKind
  /** Number of the gateway that it was sent to. */
  gateway: number
  /** Milliseconds of the test's clock. */
  sentAt: number
  /** Undefined where the connection ended without a head. */
  status?: number
  echoedId?: string
  /** The body, where it came to its end. */
  body?: string
}

/** Draws a whole number below a bound. */
export type Draw = (bound: number) => number

const KINDS = Object.values(RequestKind)
/** Milliseconds between requests. */
const SEND_INTERVAL_MS = 15

/** Sends requests until it is stopped. */
export class SoakClients {
  readonly requests: SentRequest[] = []
  private readonly underWay = new Set<Promise<void>>()
  private timer: NodeJS.Timeout | undefined
  private sentCount = 0

  constructor(private readonly gateways: readonly GatewayChild[], private readonly draw: Draw) {}

  start(): void {
    this.timer = setInterval(() => this.send(), SEND_INTERVAL_MS)
  }

  /** Waits for what is under way. */
  async stop(): Promise<void> {
    clearInterval(this.timer)
    await Promise.all(this.underWay)
  }

  /** Number of the gateway that a request was sent to; undefined for an id that no client sent. */
  gatewayOf(id: string): number | undefined {
    return this.requests.find(sent => sent.id === id)?.gateway
  }

  private send(): void {
    const kind = KINDS[this.draw(KINDS.length)]
    const gateway = this.draw(this.gateways.length)
    const sentRequest: SentRequest = { id: `${kind}-${this.sentCount++}`, kind, gateway, sentAt: performance.now() }
    this.requests.push(sentRequest)
    // A call that fails leaves no status or no body; what may be said of it is checked by those.
    const call = this.call(this.gateways[gateway].address, sentRequest).catch(() => {}).finally(() => this.underWay.delete(call))
    this.underWay.add(call)
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
