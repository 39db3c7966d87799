/**
 * Carries out the orderly end of a gateway by the steps of `drain-plan.ts`.
 * It holds no state beyond the run; a process that is killed meanwhile breaks
 * the connections that it still has.
 */
import type { ClientServer } from '../../connection/clients/client-server.js'
import { wait } from '@eidermast/common'
import { decideDrainStep, DrainStep } from './drain-plan.js'

/** Milliseconds between looks at the requests under way. The process ends at most this much later than it could. */
const DRAIN_CHECK_MS = 50

/** Serves clients on until the drain's plan lets the process end. */
export async function drainClients(clients: ClientServer, gracePeriodMs: number, othersServe: () => boolean): Promise<void> {
  const startedAt = performance.now()
  clients.beginDrain()
  let step = DrainStep.Serve
  while (step !== DrainStep.End) {
    const elapsedMs = performance.now() - startedAt
    step = decideDrainStep({ elapsedMs, activeRequests: clients.activeRequests, gracePeriodMs, othersServe: othersServe() })
    // Both again at each look: connections that have become idle since are closed too.
    if (step === DrainStep.Refuse)
      clients.refuseNew()
    if (step === DrainStep.Close)
      clients.close()
    await wait(DRAIN_CHECK_MS)
  }
}
