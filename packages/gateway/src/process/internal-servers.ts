/**
 * HTTP servers for infrastructure rather than clients: readiness, peers and
 * metrics. Owns the servers from `listen` to `close`.
 */
import type { Server } from 'node:http'
import type { Registry } from 'prom-client'
import { createServer } from 'node:http'

/** Servers that are closed together. */
export class InternalServers {
  private readonly servers: Server[] = []

  /** Starts listening; rejects if the address cannot be bound. */
  async listen(server: Server, port: number, host: string): Promise<void> {
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
export function createReadinessServer(isReady: () => boolean): Server {
  return createServer((_, response) => {
    response.writeHead(isReady() ? 200 : 503).end()
  })
}

/** Serves metrics in the Prometheus text format, on any path. */
export function createMetricsServer(registry: Registry): Server {
  return createServer(async (_, response) => {
    response.writeHead(200, { 'content-type': registry.contentType })
    response.end(await registry.metrics())
  })
}
