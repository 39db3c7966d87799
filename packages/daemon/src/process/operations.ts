/**
 * HTTP endpoints for operators and their tools: metrics, health and readiness.
 * Every port of a daemon serves them over plain HTTP.
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import type { Registry } from 'prom-client'
import { SharedRead } from '@eidermast/common'

/** Data source of the operations endpoints. */
export interface OperationsSource {
  /** Type of the metrics' text. */
  contentType: string
  metrics: SharedRead<string>
  /** Whether the process should receive work. */
  isReady: () => boolean
}

/** Reads metrics; `refresh` updates the gauges before. */
export function createMetricsRead(registry: Registry, refresh: () => void | Promise<void>): Pick<OperationsSource, 'contentType' | 'metrics'> {
  const metrics = new SharedRead(async () => {
    await refresh()
    return registry.metrics()
  })
  return { contentType: registry.contentType, metrics }
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

async function sendMetrics({ contentType, metrics }: OperationsSource, response: ServerResponse): Promise<void> {
  const text = await metrics.read()
  response.writeHead(200, { 'content-type': contentType }).end(text)
}
