/**
 * HTTP endpoints for operators and their tools: metrics, health and readiness.
 * Every port of a daemon serves them over plain HTTP.
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import type { Registry } from 'prom-client'

/** Data source of the operations endpoints. */
export interface OperationsSource {
  registry: Registry
  /** Whether the process should receive work. */
  isReady: () => boolean
  /** Updates the gauges before they are read. */
  refresh: () => void | Promise<void>
}

/** Handles `/metrics`, `/healthz` and `/readyz`; resolves to false for any other path. */
export async function answerOperations(source: OperationsSource, request: IncomingMessage, response: ServerResponse): Promise<boolean> {
  switch (request.url) {
    case '/metrics':
      await sendMetrics(source, response)
      return true
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

/** Creates a listener for a port without other HTTP paths: any other path gets a 404. */
export function createOperationsListener(source: OperationsSource): RequestListener {
  return (request, response) => void answerOperations(source, request, response).then((answered) => {
    if (!answered)
      response.writeHead(404).end()
  })
}

async function sendMetrics({ registry, refresh }: OperationsSource, response: ServerResponse): Promise<void> {
  await refresh()
  const text = await registry.metrics()
  response.writeHead(200, { 'content-type': registry.contentType }).end(text)
}
