/**
 * Settings of gateways under test, with free ports.
 */
import { createServer } from 'node:net'
import process from 'node:process'

/** Ports of one gateway. */
export interface GatewayPorts {
  clients: number
  readiness: number
  peers: number
  metrics: number
}

/**
 * Below the ephemeral port range (32768 to 60999 on Linux): an ephemeral port may
 * be assigned to an outgoing connection between the probe and the gateway's
 * start. Test processes that run in parallel use different blocks, and each
 * probes the next port every time, since a gateway listens only some tenths of a
 * second after the probe.
 */
const PORT_RANGE = { first: 10_000, blocks: 100, blockSize: 200 }
const firstPort = PORT_RANGE.first + (process.pid % PORT_RANGE.blocks) * PORT_RANGE.blockSize
let portsProbed = 0

async function freePort(): Promise<number> {
  for (;;) {
    const port = firstPort + portsProbed++ % PORT_RANGE.blockSize
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

/** Finds free ports for one gateway. */
export async function freePorts(): Promise<GatewayPorts> {
  const [clients, readiness, peers, metrics] = await Promise.all([freePort(), freePort(), freePort(), freePort()])
  return { clients, readiness, peers, metrics }
}

/** What differs between gateways. */
export interface SettingsOptions {
  /** @default zone-a */
  failureDomain?: string
  /** Further lines of the section `[platform]`. @default none */
  platform?: readonly string[]
}

/** The text of a settings file. */
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
