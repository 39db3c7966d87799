/**
 * Settings of gateways under test, with ports from the system.
 */
import type { AddressInfo } from 'node:net'
import { createServer } from 'node:net'

/** Ports of one gateway. */
export interface GatewayPorts {
  clients: number
  readiness: number
  peers: number
  metrics: number
}

async function freePort(): Promise<number> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return port
}

/** Asks the system for ports. */
export async function freePorts(): Promise<GatewayPorts> {
  const [clients, readiness, peers, metrics] = await Promise.all([freePort(), freePort(), freePort(), freePort()])
  return { clients, readiness, peers, metrics }
}

/** The text of a settings file. */
export function createSettings(name: string, ports: GatewayPorts, storeAddress: string): string {
  return [
    '[process]',
    `name = ${name}`,
    'zone = zone-a',
    'host = 127.0.0.1',
    'grace-period-ms = 8000',
    '[listen]',
    `clients = 127.0.0.1:${ports.clients}`,
    `readiness = 127.0.0.1:${ports.readiness}`,
    `peer-port = ${ports.peers}`,
    `metrics-port = ${ports.metrics}`,
    '[platform]',
    `store = ${storeAddress}`,
  ].join('\n')
}
