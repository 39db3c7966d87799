/**
 * The paths for operators and their tools: metrics, health and readiness, over
 * plain HTTP on every port of a daemon.
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import type { Registry } from 'prom-client'

/** What the operations paths answer from. */
export interface OperationsSource {
  registry: Registry
  /** Whether the process should get work. */
  isReady: () => boolean
  /** Brings gauges up to date. */
  refresh: () => void | Promise<void>
}

/** Answers `/metrics`, `/healthz` and `/readyz`; returns whether the path was one of them. */
export async function answerOperations(source: OperationsSource, request: IncomingMessage, response: ServerResponse): Promise<boolean> {
  switch (request.url) {
    case '/metrics':
      await answerMetrics(source, response)
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

/** A listener for a port that has no other paths: whatever else is asked for is answered 404. */
export function createOperationsListener(source: OperationsSource): RequestListener {
  return (request, response) => void answerOperations(source, request, response).then((answered) => {
    if (!answered)
      response.writeHead(404).end()
  })
}

async function answerMetrics({ registry, refresh }: OperationsSource, response: ServerResponse): Promise<void> {
  await refresh()
  const text = await registry.metrics()
  response.writeHead(200, { 'content-type': registry.contentType }).end(text)
}
