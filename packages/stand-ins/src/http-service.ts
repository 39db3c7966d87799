/**
 * A minimal HTTP server with JSON bodies, on which the stand-ins are built.
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

/** Handles a call and writes its response. */
export type StandInHandler = (call: StandInCall) => Promise<void> | void

/** A listening stand-in. */
export interface StandInService {
  url: string
  address: string
  close: () => Promise<void>
}

/**
 * Longer than any test, so that the server never closes an idle connection while
 * a caller is sending a request on it.
 */
const KEEP_ALIVE_MS = 600_000

/** Starts a server on loopback; port 0 lets the operating system choose a port. */
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

/** Sends a JSON response, unless the caller has disconnected. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  if (response.destroyed)
    return
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}
