/**
 * A small HTTP service for stand-ins: JSON in, JSON out.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createServer } from 'node:http'

/** One call to a stand-in. */
export interface StandInCall {
  method: string
  path: string
  query: URLSearchParams
  body: string
  request: IncomingMessage
  response: ServerResponse
}

/** Answers a call by writing to its response. */
export type StandInHandler = (call: StandInCall) => Promise<void> | void

/** A listening stand-in. */
export interface StandInService {
  url: string
  address: string
  close: () => Promise<void>
}

/**
 * Milliseconds for which an idle connection stays open: longer than any test,
 * so that no caller meets a connection that closes as it sends.
 */
const KEEP_ALIVE_MS = 600_000

/** Starts a stand-in on loopback with a port from the system. */
export async function startService(handler: StandInHandler, port = 0): Promise<StandInService> {
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
    void serve(handler, request, response)
  })
  await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const close = async (): Promise<void> => {
    server.closeAllConnections()
    await new Promise<void>(resolve => server.close(() => resolve()))
  }
  return { url: `http://${address}`, address, close }
}

async function serve(handler: StandInHandler, request: IncomingMessage, response: ServerResponse): Promise<void> {
  try {
    const chunks: Buffer[] = []
    for await (const chunk of request)
      chunks.push(chunk as Buffer)
    const target = new URL(request.url ?? '/', 'http://stand-in')
    await handler({
      method: request.method ?? 'GET',
      path: target.pathname,
      query: target.searchParams,
      body: Buffer.concat(chunks).toString(),
      request,
      response,
    })
  }
  catch (error) {
    if (!response.headersSent)
      sendJson(response, 400, { message: String(error) })
  }
}

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  if (response.destroyed)
    return
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}
