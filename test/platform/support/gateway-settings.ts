/**
 * Creates settings of gateways under test, with free ports.
 */
import type { Server } from 'node:net'
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
 * gateway's start. Each test process claims a block of its own, and uses the next
 * port of it every time, since a gateway only listens some tenths of a second
 * after the check.
 */
const PORT_RANGE = { first: 10_000, blocks: 100, blockSize: 200 }
let firstPort: Promise<number> | undefined
let portsTaken = 0

/**
 * Claims a block by listening on its lowest port until this process ends. Two
 * processes that shared a block would reuse each other's ports: heartbeats to a
 * stopped gateway then reach a gateway of the other deployment, and the two
 * deployments exchange their lists of backend servers.
 */
async function claimBlock(): Promise<number> {
  for (let offset = 0; offset < PORT_RANGE.blocks; offset++) {
    const block = (process.pid + offset) % PORT_RANGE.blocks
    const lowestPort = PORT_RANGE.first + block * PORT_RANGE.blockSize
    const claim = await listen(lowestPort)
    if (claim) {
      claim.unref()
      return lowestPort + 1
    }
  }
  throw new Error(`all ${PORT_RANGE.blocks} port blocks are claimed by other test processes`)
}

async function freePort(): Promise<number> {
  firstPort ??= claimBlock()
  const first = await firstPort
  for (;;) {
    const port = first + portsTaken++ % (PORT_RANGE.blockSize - 1)
    if (await canListen(port))
      return port
  }
}

async function canListen(port: number): Promise<boolean> {
  const server = await listen(port)
  return new Promise(resolve => server ? server.close(() => resolve(true)) : resolve(false))
}

/** Returns a server that listens on the port; undefined if the port is in use. */
function listen(port: number): Promise<Server | undefined> {
  const server = createServer()
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined))
    server.listen(port, '127.0.0.1', () => resolve(server))
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
  /** Lines of the section `[load]`. @default none */
  load?: readonly string[]
  /** Lines of the section `[retry]`. @default none */
  retry?: readonly string[]
}

/** Creates the text of a settings file. */
export function createSettings(name: string, ports: GatewayPorts, storeAddress: string, { failureDomain = 'zone-a', platform = [], load = [], retry = [] }: SettingsOptions = {}): string {
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
    '[load]',
    ...load,
    '[retry]',
    ...retry,
    '[platform]',
    `store = ${storeAddress}`,
    ...platform,
  ].join('\n')
}
