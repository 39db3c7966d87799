/**
 * Performs the graceful shutdown of a gateway in the steps of `drain-plan.ts`.
 * Keeps no state beyond the shutdown; if the process is killed meanwhile, its
 * remaining connections break.
 */
import type { ClientServer } from '../../connection/clients/client-server.js'
import { wait } from '@eidermast/common'
import { decideDrainStep, DrainStep, latestAnswerMs } from './drain-plan.js'
import { isEndedByStop } from './unanswered-requests.js'

/** Interval of the checks of requests in flight; delays the exit by at most this much. */
const DRAIN_CHECK_INTERVAL_MS = 50

/** The server for clients, as far as its shutdown needs it. */
export type DrainedClients = Pick<ClientServer, 'activeRequests' | 'beginDrain' | 'rejectNew' | 'endRequests' | 'close'>

/** Serves clients until the drain plan allows the process to end; from then on, no request is accepted. */
export async function drainClients(clients: DrainedClients, gracePeriodMs: number, othersServe: () => boolean): Promise<void> {
  const startedAt = performance.now()
  const latestAnswerAt = startedAt + latestAnswerMs(gracePeriodMs)
  clients.beginDrain()
  let isRefusing = false
  for (;;) {
    const elapsedMs = performance.now() - startedAt
    const step = decideDrainStep({ elapsedMs, isRefusing, activeRequests: clients.activeRequests, gracePeriodMs, othersServe: othersServe() })
    if (step === DrainStep.End)
      return clients.close()
    // Both repeated at each check, to also close connections that have become idle since.
    if (step === DrainStep.Refuse || step === DrainStep.Answer)
      clients.rejectNew()
    if (step === DrainStep.Close)
      clients.close()
    clients.endRequests(request => isEndedByStop(request, step, latestAnswerAt))
    isRefusing ||= step !== DrainStep.Serve
    await wait(DRAIN_CHECK_INTERVAL_MS)
  }
}
