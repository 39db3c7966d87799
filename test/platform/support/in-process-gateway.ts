/**
 * Starts gateways in the process of the test, against a stand-in store.
 */
import { Gateway, parseGatewaySettings } from '@eidermast/gateway'
import { createAdapter } from '@eidermast/platform'
import { createLog } from '../../gateway/support/fakes.js'
import { createSettings, freePorts } from './gateway-settings.js'

/** A gateway and where it listens. */
export interface StartedGateway {
  gateway: Gateway
  /** URL for clients. */
  address: string
  readiness: string
}

/** Starts a gateway on free ports. */
export async function startGateway(name: string, storeAddress: string): Promise<StartedGateway> {
  const ports = await freePorts()
  const settings = parseGatewaySettings(createSettings(name, ports, storeAddress)).unwrap()
  const { log } = createLog()
  const gateway = new Gateway(settings, createAdapter(settings.platform, log).unwrap(), log)
  await gateway.start()
  return { gateway, address: `http://127.0.0.1:${ports.clients}`, readiness: `http://127.0.0.1:${ports.readiness}` }
}
