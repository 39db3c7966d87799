/**
 * The HTTP servers that are not for clients: readiness, peers and metrics. It
 * owns the servers from `listen` to `close`.
 */
import type { Server } from 'node:http'
import type { Registry } from 'prom-client'
import { createServer } from 'node:http'

/** Servers of one process that end together. */
export class InternalServers {
  private readonly servers: Server[] = []

  /** Listens; rejects where the address cannot be had. */
  async listen(server: Server, port: number, host: string): Promise<void> {
    this.servers.push(server)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, () => resolve())
    })
  }

  /** Closes all servers with their connections. */
  close(): void {
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
  }
}

/** Answers 200 while the process is ready, else 503; any path. */
export function createReadinessServer(isReady: () => boolean): Server {
  return createServer((_, response) => {
    response.writeHead(isReady() ? 200 : 503).end()
  })
}

/** Serves the metrics in the text format of Prometheus; any path. */
export function createMetricsServer(registry: Registry): Server {
  return createServer(async (_, response) => {
    response.writeHead(200, { 'content-type': registry.contentType })
    response.end(await registry.metrics())
  })
}
