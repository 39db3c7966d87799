/**
 * What entries and sides have in common as running processes.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Registry } from 'prom-client'

/** A running daemon. */
export interface Daemon {
  /** Where it listens. */
  addresses: DaemonAddresses
  /** Stops without cutting off work in flight. */
  stop: () => Promise<void>
}

/** Where a daemon listens. */
export interface DaemonAddresses {
  role: string
  name: string
  incarnation: string
  pid: number
  /** Between processes, as `host:port`. */
  peer: string
  /** For callers, as `host:port`; entries only. */
  caller?: string
}

/** What the operations paths answer from. */
export interface OperationsSource {
  registry: Registry
  isReady: () => boolean
  /** Brings gauges up to date. */
  refresh: () => void
}

/** Answers `/metrics`, `/healthz` and `/readyz`; returns whether the path was one of them. */
export async function answerOperations(source: OperationsSource, request: IncomingMessage, response: ServerResponse): Promise<boolean> {
  switch (request.url) {
    case '/metrics': {
      source.refresh()
      const text = await source.registry.metrics()
      response.writeHead(200, { 'content-type': source.registry.contentType }).end(text)
      return true
    }
    case '/healthz':
      response.writeHead(200).end('ok\n')
      return true
    case '/readyz': {
      const ready = source.isReady()
      response.writeHead(ready ? 200 : 503).end(ready ? 'ready\n' : 'not ready\n')
      return true
    }
    default:
      return false
  }
}
