/**
 * What backend servers of a soak saw: which of it is work, and who sent it.
 */
import type { ReceivedRequest } from '../../platform/support/stand-in-backend.js'
import type { SoakClients } from './soak-clients.js'

/** Calls to stage backend servers name no request of a client. */
const STAGE_RUN_PATH = '/-/stage-run'

/** Number of the gateway that sent a request; undefined for stage calls. */
export function senderOf(seen: ReceivedRequest, clients: SoakClients): number | undefined {
  return seen.path === STAGE_RUN_PATH ? undefined : clients.gatewayOf(String(seen.headers['attempt-id']))
}

/** Calls that free results or ask for a report are none. */
export function isWork({ path }: ReceivedRequest): boolean {
  return path === STAGE_RUN_PATH || !path.startsWith('/-/')
}
