/**
 * Settings of gateways under test, with ports that are free.
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
 * Below the range from which systems take ports for outgoing connections
 * (32768 to 60999 on Linux): a port from there may be taken again between the
 * probe and the gateway's start. Processes that test at the same time take
 * theirs from different blocks, and each takes the next one every time, since a
 * gateway listens some tenths of a second after the probe.
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

/** Ports that nobody listens on. */
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
