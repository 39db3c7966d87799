/**
 * Carries out the orderly end of a gateway by the times of `drain-plan.ts`.
 * It holds no state beyond the run; a process that is killed meanwhile breaks
 * the connections that it still has.
 */
import type { ClientServer } from '../../connection/clients/client-server.js'
import { wait } from '@eidermast/common'
import { DRAIN_CLOSE_MS, DRAIN_SERVE_MS, isDrained } from './drain-plan.js'

/** Milliseconds between looks at the requests under way. Not measured; the process ends at most this much later than it could. */
const DRAIN_CHECK_MS = 50

/** Serves clients on until the drain's plan lets the process end. */
export async function drainClients(clients: ClientServer, gracePeriodMs: number): Promise<void> {
  const startedAt = performance.now()
  clients.beginDrain()
  setTimeout(() => clients.refuseNew(), DRAIN_SERVE_MS)
  setTimeout(() => clients.close(), DRAIN_CLOSE_MS)
  while (!isDrained(performance.now() - startedAt, clients.activeRequests, gracePeriodMs))
    await wait(DRAIN_CHECK_MS)
}
