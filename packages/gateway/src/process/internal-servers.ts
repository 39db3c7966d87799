/**
 * HTTP servers for infrastructure rather than clients: readiness, peers and
 * metrics. Owns the servers from `listen` to `close`.
 */
import type { ConnectionLimits, EventLog } from '@eidermast/common'
import type { RequestListener, Server } from 'node:http'
import type { Registry } from 'prom-client'
import { createGuardedServer, SharedRead } from '@eidermast/common'

/** Time to receive a head, and a whole request; callers are other processes that send theirs at once. */
const TIMEOUTS = { headersTimeout: 5000, requestTimeout: 10_000, connectionsCheckingInterval: 1000 }

/** Where a server listens, and for how many. */
export interface InternalAddress {
  host: string
  port: number
  maxConnections: number
}

/** Servers that are closed together. */
export class InternalServers {
  private readonly servers: Server[] = []

  constructor(private readonly shared: Omit<ConnectionLimits, 'maxConnections'>, private readonly log: EventLog) {}

  /** Starts listening; rejects if the address cannot be bound. */
  async listen(listener: RequestListener, { host, port, maxConnections }: InternalAddress): Promise<void> {
    const { server } = createGuardedServer(TIMEOUTS, { ...this.shared, maxConnections }, (event, fields) => this.log.write(event, { port, ...fields }))
    server.on('request', listener)
    this.servers.push(server)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, () => resolve())
    })
  }

  /** Closes all servers and their connections. */
  close(): void {
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
  }
}

/** Responds with 200 while the process is ready and 503 otherwise, on any path. */
export function createReadinessListener(isReady: () => boolean): RequestListener {
  return (_, response) => {
    response.writeHead(isReady() ? 200 : 503).end()
  }
}

/** Serves metrics in the Prometheus text format, on any path. */
export function createMetricsListener(registry: Registry): RequestListener {
  const metrics = new SharedRead(() => registry.metrics())
  return async (_, response) => {
    response.writeHead(200, { 'content-type': registry.contentType })
    response.end(await metrics.read())
  }
}
