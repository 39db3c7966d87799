/**
 * Clients of a soak: they send requests of three kinds and keep what they
 * were told, to be held against what the backend servers saw.
 */
import type { GatewayChild } from './gateway-child.js'
import { request } from 'undici'

/** Kinds of requests. */
export enum RequestKind {
  /** May run once only. */
  Once = 'once',
  /** May be repeated. */
  Plain = 'plain',
  /** A stream after a stage, which may be resumed. */
  Stream = 'stream',
}

/** What a client was told. */
export interface ToldRequest {
  id: string
  kind: RequestKind
  /** Undefined where the connection ended without a head. */
  status?: number
  echoedId?: string
  /** The body, where it came to its end. */
  body?: string
}

/** Draws a whole number below a bound. */
export type Draw = (bound: number) => number

const KINDS = Object.values(RequestKind)
const SEND_INTERVAL_MS = 15

/** Sends requests until it is stopped. */
export class SoakClients {
  readonly reported: ToldRequest[] = []
  private readonly underWay = new Set<Promise<void>>()
  private timer: NodeJS.Timeout | undefined
  private sent = 0

  constructor(private readonly gateways: readonly GatewayChild[], private readonly draw: Draw) {}

  start(): void {
    this.timer = setInterval(() => this.send(), SEND_INTERVAL_MS)
  }

  /** Waits for what is under way. */
  async stop(): Promise<void> {
    clearInterval(this.timer)
    await Promise.all(this.underWay)
  }

  private send(): void {
    const kind = KINDS[this.draw(KINDS.length)]
    const gateway = this.gateways[this.draw(this.gateways.length)]
    const reported: ToldRequest = { id: `${kind}-${this.sent++}`, kind }
    this.reported.push(reported)
    const call = this.call(gateway.address, reported).catch(() => {}).finally(() => this.underWay.delete(call))
    this.underWay.add(call)
  }

  private async call(address: string, reported: ToldRequest): Promise<void> {
    const response = await request(`${address}/${reported.kind}/${reported.id}`, {
      method: 'POST',
      headers: { 'host': 'host.example', 'attempt-id': reported.id, 'deadline-ms': '3000', 'chunk-count': '2', 'chunk-key': 'key' },
      body: 'body',
      signal: AbortSignal.timeout(5000),
    })
    reported.status = response.statusCode
    reported.echoedId = String(response.headers['attempt-id'])
    reported.body = await response.body.text()
  }
}
