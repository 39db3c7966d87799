/**
 * Starts gateways in this process, against a stand-in store.
 */
import type { AddressInfo } from 'node:net'
import { createServer } from 'node:net'
import { Gateway, parseGatewaySettings } from '@eidermast/gateway'
import { createAdapter } from '@eidermast/platform'
import { createLog } from '../../gateway/support/fakes.js'

/** A gateway and where it listens. */
export interface StartedGateway {
  gateway: Gateway
  /** URL for clients. */
  address: string
  readiness: string
}

async function freePort(): Promise<number> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return port
}

/** Starts a gateway with ports from the system. */
export async function startGateway(name: string, storeAddress: string): Promise<StartedGateway> {
  const [clients, ready, peers, metrics] = await Promise.all([freePort(), freePort(), freePort(), freePort()])
  const settings = parseGatewaySettings([
    '[process]',
    `name = ${name}`,
    'zone = zone-a',
    'host = 127.0.0.1',
    'grace-period-ms = 8000',
    '[listen]',
    `clients = 127.0.0.1:${clients}`,
    `readiness = 127.0.0.1:${ready}`,
    `peer-port = ${peers}`,
    `metrics-port = ${metrics}`,
    '[platform]',
    `store = ${storeAddress}`,
  ].join('\n')).unwrap()
  const { log } = createLog()
  const gateway = new Gateway(settings, createAdapter(settings.platform, log).unwrap(), log)
  await gateway.start()
  return { gateway, address: `http://127.0.0.1:${clients}`, readiness: `http://127.0.0.1:${ready}` }
}
