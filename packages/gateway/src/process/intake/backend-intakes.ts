/**
 * Decides when a request, a stage call or a deletion of results may go to a
 * backend server, by what it says of the requests that it takes.
 *
 * Inputs: the heads of its answers to this process, and what peers tell of them
 * (limit, leaving), as of now; the turns of `limit-turns.ts`.
 * Rule: none while it rests, nor before this gateway's turn where it names a
 * limit; none ever again once it says that it leaves, for which the registry
 * counts it out. A rest is asked of one gateway and binds that one alone. Probes
 * and reports are let through: they show whether streams under way still live.
 * Why: it is asked where a backend server is chosen and again just before the
 * first byte, since requests wait between the two.
 * Log events: `backend-limit`, `backend-rest`, `backend-leaving`,
 * `work-turned-away`.
 *
 * What each backend server said lives with the registry's entry of it; this
 * module owns nothing.
 */
import type { AnswerHead, BackendNotice, ReadNotice } from '../../connection/backends/backend-notice.js'
import type { Backend } from '../../connection/backends/backend.js'
import type { IntakeGate } from '../../connection/backends/intake-gate.js'
import type { LimitTurns } from '../../request/attempts/limit-turns.js'
import type { BackendRegistry } from '../backend-registry.js'
import type { GatewayLog } from '../gateway-log.js'
import { LeavingExchange } from './leaving-exchange.js'
import { LimitExchange } from './limit-exchange.js'

/** Name of this process's own answers in the log. */
const OWN_ANSWERS = 'answer'

/** The gate before all backend servers. */
export class BackendIntakes implements IntakeGate {
  /** What gateways tell each other of limits. */
  readonly limitExchange: LimitExchange
  /** What gateways tell each other of backend servers that leave. */
  readonly leavingExchange: LeavingExchange

  constructor(
    private readonly registry: Pick<BackendRegistry, 'find' | 'noteLeaving'>,
    private readonly readNotice: ReadNotice,
    private readonly limitTurns: LimitTurns,
    private readonly log: GatewayLog,
  ) {
    this.limitExchange = new LimitExchange(registry, (backend, previous, peer) => log.backendLimitChanged(backend, previous, peer))
    this.leavingExchange = new LeavingExchange(registry, (backend, peer) => this.takeLeaving(backend, peer))
  }

  waitMs(backend: Backend): number {
    return Math.max(backend.intake.restMs(performance.now()), this.limitTurns.waitMs(backend))
  }

  noteSent({ intake }: Backend): void {
    intake.lastSentAt = performance.now()
  }

  noteAnswer(backend: Backend, head: AnswerHead): void {
    const notice = this.readNotice(head.status, head.headers)
    this.noteLimit(backend, notice, head)
    if (notice.isLeaving && backend.intake.takeLeaving()) {
      this.leavingExchange.note(backend)
      this.takeLeaving(backend, OWN_ANSWERS)
    }
    if (notice.restMs !== undefined) {
      backend.intake.takeRest(notice.restMs, performance.now())
      this.log.backendRequestedPause(backend, notice.restMs)
    }
  }

  private takeLeaving(backend: Backend, source: string): void {
    this.log.backendAnnouncedLeaving(backend, source)
    this.registry.noteLeaving(backend)
  }

  private noteLimit(backend: Backend, notice: BackendNotice, head: AnswerHead): void {
    const previous = backend.intake.limitPerSecond
    if (!backend.intake.takeLimit(notice, head, performance.now()))
      return
    this.limitExchange.note(backend)
    this.log.backendLimitChanged(backend, previous, OWN_ANSWERS)
  }
}
