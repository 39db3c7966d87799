/**
 * Decides when a request, a stage call or a deletion of results may be sent to a
 * backend server, according to the flow control of the backend server.
 *
 * Inputs: the headers of its responses to this process, and what peers report of
 * them (rate limit, leaving), as of now; the slots of `slotted-rate-limiter.ts`.
 * Rule: none during a backoff, nor before this gateway's next slot if there is a
 * rate limit; none at all once the backend server has announced that it is
 * leaving, from when on the registry no longer counts it as available. A backoff
 * applies only to the gateway that it was requested from. Probes and reports are
 * always allowed, since they show whether streams in flight are still alive.
 * Why: the gate is checked when a backend server is chosen and again just before
 * the first byte is sent, since requests wait in between.
 * Log events: `backend-limit`, `backend-rest`, `backend-leaving`,
 * `work-turned-away`.
 *
 * Owns no state: what a backend server reported is kept with its registry entry.
 */
import type { BackendNotice, ReadNotice, ResponseHead } from '../../connection/backends/backend-notice.js'
import type { Backend } from '../../connection/backends/backend.js'
import type { IntakeGate } from '../../connection/backends/intake-gate.js'
import type { SlottedRateLimiter } from '../../request/attempts/slotted-rate-limiter.js'
import type { BackendRegistry } from '../backend-registry.js'
import type { GatewayLog } from '../gateway-log.js'
import { LeavingExchange } from './leaving-exchange.js'
import { LimitExchange } from './limit-exchange.js'

/** Source in the log for responses to this process. */
const OWN_RESPONSE_SOURCE = 'answer'

/** The gate for requests to all backend servers. */
export class BackendIntakes implements IntakeGate {
  /** Shares rate limits with peers. */
  readonly limitExchange: LimitExchange
  /** Shares with peers which backend servers are leaving. */
  readonly leavingExchange: LeavingExchange

  constructor(
    private readonly registry: Pick<BackendRegistry, 'find' | 'noteLeaving'>,
    private readonly readNotice: ReadNotice,
    private readonly rateLimiter: SlottedRateLimiter,
    private readonly log: GatewayLog,
  ) {
    this.limitExchange = new LimitExchange(registry, (backend, previous, peer) => log.backendLimitChanged(backend, previous, peer))
    this.leavingExchange = new LeavingExchange(registry, (backend, peer) => this.handleLeaving(backend, peer))
  }

  waitMs(backend: Backend): number {
    return Math.max(backend.intake.backoffMs(performance.now()), this.rateLimiter.waitMs(backend))
  }

  recordSent({ intake }: Backend): void {
    intake.lastSentAt = performance.now()
  }

  handleResponse(backend: Backend, head: ResponseHead): void {
    const notice = this.readNotice(head.status, head.headers)
    this.updateLimit(backend, notice, head)
    if (notice.isLeaving && backend.intake.markLeaving()) {
      this.leavingExchange.note(backend)
      this.handleLeaving(backend, OWN_RESPONSE_SOURCE)
    }
    if (notice.backoffMs !== undefined) {
      backend.intake.startBackoff(notice.backoffMs, performance.now())
      this.log.backendRequestedBackoff(backend, notice.backoffMs)
    }
  }

  private handleLeaving(backend: Backend, source: string): void {
    this.log.backendAnnouncedLeaving(backend, source)
    this.registry.noteLeaving(backend)
  }

  private updateLimit(backend: Backend, notice: BackendNotice, head: ResponseHead): void {
    const previous = backend.intake.limitPerSecond
    if (!backend.intake.updateLimit(notice, head, performance.now()))
      return
    this.limitExchange.note(backend)
    this.log.backendLimitChanged(backend, previous, OWN_RESPONSE_SOURCE)
  }
}
