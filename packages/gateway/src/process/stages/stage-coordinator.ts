/**
 * The stage work of all requests that this process owns. Ownership is
 * efficiency, never safety: a item may be made again, and two schedulers at
 * once cost room and time only.
 */
import type { EventLog } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { Backend } from '../../connection/backend.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs, Preparer } from '../../connection/preparation.js'
import type { StageClient } from '../../connection/stage-client.js'
import type { Service } from '../../version/configuration.js'
import type { RouteTable } from '../../version/route-table.js'
import type { BackendRegistry } from '../backend-registry.js'
import type { StageOrder } from './stage-order.js'
import type { RepeatAllowance } from './stage-pool.js'
import { Err } from 'ts-results-es'
import { PreparationFailureKind } from '../../connection/preparation.js'
import { RequestStages } from '../../request/stages/request-stages.js'
import { AdmissionDecision, estimateAdmission } from './stage-admission.js'
import { StagePool } from './stage-pool.js'

const DISPATCH_INTERVAL_MS = 50
/** Results that nobody gives up are forgotten after this time, in milliseconds. */
const MAX_HOLD_MS = 20_000

/** Owns the pools of all stage services, and the requests whose results are held. */
export class StageCoordinator implements Preparer {
  private readonly pools = new Map<string, StagePool>()
  private readonly runs = new Map<string, RequestStages>()
  private readonly timer: NodeJS.Timeout
  private handingOver = false

  constructor(
    private readonly registry: BackendRegistry,
    private readonly client: StageClient,
    private readonly order: StageOrder,
    private readonly repeats: RepeatAllowance,
    private readonly log: EventLog,
  ) {
    const refresh = (backend: Backend): void => this.refresh(backend.service)
    registry.listen({ added: refresh, removed: refresh, stateChanged: refresh })
    this.timer = setInterval(() => this.dispatchWaiting(), DISPATCH_INTERVAL_MS)
    this.timer.unref()
  }

  /** Follows the stage services of a configuration. */
  applyConfiguration(table: RouteTable): void {
    for (const service of table.configuration.services) {
      if (service.stage)
        this.applyService(service)
    }
  }

  /** Gives a service's pool the backend servers that take work. */
  private refresh(service: string): void {
    this.pools.get(service)?.setBackends(this.registry.available(service))
  }

  async prepare(request: PreparationRequest, signal: AbortSignal): Promise<Result<PreparedInputs, PreparationFailure>> {
    if (signal.aborted)
      return Err(cancelled())
    return new Promise((resolve) => {
      const end = (result: Result<PreparedInputs, PreparationFailure>): void => {
        signal.removeEventListener('abort', onAbort)
        this.log.write('stages-ended', { request: request.requestId, outcome: result.isOk() ? 'prepared' : result.error.kind, targetMs: Math.round(request.targetMs), tookMs: Math.round(performance.now() - startedAt), reason: result.isErr() ? result.error.message : undefined })
        resolve(result)
      }
      const onAbort = (): void => {
        this.release(request.requestId)
        end(Err(cancelled()))
      }
      const startedAt = performance.now()
      signal.addEventListener('abort', onAbort)
      this.admit(request, startedAt, end)
    })
  }

  /**
   * This process coordinates the stage work from now on: results of the coordinator before
   * may take room. It may have handed the work over before, to one that is lost.
   */
  takeOver(): void {
    this.handingOver = false
    for (const pool of this.pools.values())
      pool.readFreeMemory()
  }

  /** Gives the the coordinator role up: the next coordinator goes on with the work and the results that there are. */
  handOver(): void {
    this.handingOver = true
    for (const run of [...this.runs.values()])
      run.handOver()
  }

  /** Another coordinator may be at work at the same backend servers. */
  expectOtherCoordinator(): void {
    for (const pool of this.pools.values())
      pool.expectOtherCoordinator()
  }

  release(requestId: string): void {
    this.runs.get(requestId)?.release()
    this.runs.delete(requestId)
  }

  stop(): void {
    clearInterval(this.timer)
  }

  /** Begins work that can end in time, and refuses other work before any of it is begun. */
  private admit(request: PreparationRequest, now: number, end: (result: Result<PreparedInputs, PreparationFailure>) => void): void {
    if (this.handingOver) {
      end(Err({ kind: PreparationFailureKind.HandedOver, message: 'the coordinator is stopping', retryAfterMs: 0 }))
      return
    }
    const rank = this.order.rank({ priority: request.priority, isRetry: request.isRetry, targetAt: now + request.targetMs })
    if (request.progress !== undefined)
      return this.begin(request, rank, end)
    const estimate = estimateAdmission(request, rank, this.runs.values(), service => this.pools.get(service)?.pace())
    this.log.write('stages-admission', { request: request.requestId, decision: estimate.decision, finishMs: Math.round(estimate.finishMs), targetMs: Math.round(request.targetMs), priority: request.priority, isRetry: request.isRetry, underWay: this.runs.size })
    if (estimate.decision === AdmissionDecision.Refused)
      end(Err({ kind: PreparationFailureKind.Overloaded, message: `the stages would take ${Math.round(estimate.finishMs)} ms`, retryAfterMs: estimate.retryAfterMs }))
    else
      this.begin(request, rank, end)
  }

  private begin(request: PreparationRequest, rank: number, end: (result: Result<PreparedInputs, PreparationFailure>) => void): void {
    this.release(request.requestId)
    const run = new RequestStages(request, rank, service => this.pools.get(service), end)
    this.runs.set(request.requestId, run)
    setTimeout(() => this.runs.get(request.requestId) === run && this.release(request.requestId), MAX_HOLD_MS).unref()
    run.start()
  }

  private applyService(service: Service): void {
    const pool = this.pools.get(service.name)
    if (pool) {
      pool.setLimits(service.stage!)
      return
    }
    this.pools.set(service.name, new StagePool(service.name, service.stage!, this.client, this.repeats, this.log))
    this.refresh(service.name)
  }

  private dispatchWaiting(): void {
    for (const pool of this.pools.values()) {
      if (pool.waitingItems > 0)
        pool.dispatch()
    }
  }
}

function cancelled(): PreparationFailure {
  return { kind: PreparationFailureKind.Cancelled, message: 'the request was given up', retryAfterMs: 0 }
}
