/**
 * Creates settings of gateways under test, with free ports.
 */
import { createServer } from 'node:net'
import process from 'node:process'

export interface GatewayPorts {
  clients: number
  readiness: number
  peers: number
  metrics: number
}

/**
 * Below the ephemeral port range (32768 to 60999 on Linux), because an ephemeral
 * port could be taken by an outgoing connection between the check and the
 * gateway's start. Concurrent test processes use different blocks, and each uses
 * the next port every time, since a gateway only listens some tenths of a second
 * after the check.
 */
const PORT_RANGE = { first: 10_000, blocks: 100, blockSize: 200 }
const firstPort = PORT_RANGE.first + (process.pid % PORT_RANGE.blocks) * PORT_RANGE.blockSize
let portsTaken = 0

async function freePort(): Promise<number> {
  for (;;) {
    const port = firstPort + portsTaken++ % PORT_RANGE.blockSize
    if (await canListen(port))
      return port
  }
}

function canListen(port: number): Promise<boolean> {
  const server = createServer()
  return new Promise((resolve) => {
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}

/** Returns ports that are not in use. */
export async function freePorts(): Promise<GatewayPorts> {
  const [clients, readiness, peers, metrics] = await Promise.all([freePort(), freePort(), freePort(), freePort()])
  return { clients, readiness, peers, metrics }
}

export interface SettingsOptions {
  /** @default zone-a */
  failureDomain?: string
  /** Additional lines of the section `[platform]`. @default none */
  platform?: readonly string[]
}

/** Creates the text of a settings file. */
export function createSettings(name: string, ports: GatewayPorts, storeAddress: string, { failureDomain = 'zone-a', platform = [] }: SettingsOptions = {}): string {
  return [
    '[process]',
    `name = ${name}`,
    `zone = ${failureDomain}`,
    'host = 127.0.0.1',
    'grace-period-ms = 8000',
    '[listen]',
    `clients = 127.0.0.1:${ports.clients}`,
    `readiness = 127.0.0.1:${ports.readiness}`,
    `peer-port = ${ports.peers}`,
    `metrics-port = ${ports.metrics}`,
    '[platform]',
    `store = ${storeAddress}`,
    ...platform,
  ].join('\n')
}
