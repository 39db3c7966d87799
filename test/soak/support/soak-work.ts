/**
 * Classifies the requests that backend servers received in a soak test.
 */
import type { ReceivedRequest } from '../../platform/support/stand-in-backend.js'
import type { SoakClients } from './soak-clients.js'

/** Calls on this path do not carry the id of a client request. */
const STAGE_RUN_PATH = '/-/stage-run'

/** Returns the index of the gateway that sent a request; undefined for stage calls. */
export function findSender(seen: ReceivedRequest, clients: SoakClients): number | undefined {
  return seen.path === STAGE_RUN_PATH ? undefined : clients.gatewayOf(String(seen.headers['attempt-id']))
}

/** Whether a request is work; calls that free results or query a report are not. */
export function isWork({ path }: ReceivedRequest): boolean {
  return path === STAGE_RUN_PATH || !path.startsWith('/-/')
}
