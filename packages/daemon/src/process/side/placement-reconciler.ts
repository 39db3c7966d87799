/**
 * Reconciles a backend server with its configured placement by sending fenced
 * orders, as decided in `order-decision`. Owns the fence and the placement of
 * the latest applied order for the lifetime of this process and of the backend
 * server's process; a new process sends the order again, with a fence at least
 * as high.
 */
import type { BackendClient } from '../../connection/backend-client.js'
import type { Configuration } from '../../version/configuration.js'
import type { Placement } from '../../version/placement.js'
import type { SideMetrics } from '../metrics.js'
import type { WeightStore } from './weight-store.js'
import { createLogger, wait } from '@eidermast/common'
import { resolvePlacement } from '../../version/placement.js'
import { NO_OFFSET } from '../../version/record.js'
import { findNotDueReason, findSendRefusal, findWeightsRefusal, OrderResult } from './order-decision.js'

const log = createLogger('placement')

/** Whether the local configuration is the latest. */
export interface ConfigurationStatus {
  /** Whether this process incarnation has received the latest configuration from the log or a peer. */
  readonly isKnown: boolean
  /** Checks in the log whether this configuration is the latest, and applies newer records. */
  confirmLatest: () => Promise<boolean>
}

/** Dependencies of a placement reconciler. */
export interface PlacementReconcilerOptions {
  backendName: string
  configuration: Configuration
  configurationStatus: ConfigurationStatus
  backend: BackendClient
  weights: WeightStore
  metrics: SideMetrics
  /**
   * Monotonic clock, in milliseconds.
   * @default performance.now
   */
  now?: () => number
}

/**
 * Also the retry interval of an order that has not been applied. Limits the load
 * on the weight store, at the cost of a later rollout after an outage.
 */
const RECONCILE_INTERVAL_MS = 300

/** Reconciles the placement of one backend server. */
export class PlacementReconciler {
  private appliedFence = NO_OFFSET
  private appliedPlacement: Placement | undefined
  private orderInProgress = false
  private readonly now: () => number

  constructor(private readonly options: PlacementReconcilerOptions) {
    this.now = options.now ?? (() => performance.now())
  }

  /** Placement of the latest applied order. */
  get placement(): Placement | undefined {
    return this.appliedPlacement
  }

  /** Resets the state after a restart of the backend server, whose new process has nothing loaded. */
  reset(): void {
    this.appliedFence = NO_OFFSET
    this.appliedPlacement = undefined
  }

  /** Reconciles periodically until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.reconcile()
      await wait(RECONCILE_INTERVAL_MS, signal)
    }
  }

  /** Sends an order for the configured placement if it has not been applied yet. */
  async reconcile(): Promise<OrderResult> {
    const { appliedFence, orderInProgress } = this
    const placement = this.resolveConfigured()
    const notDueReason = findNotDueReason({ configurationKnown: this.options.configurationStatus.isKnown, fence: placement?.fence, appliedFence, orderInProgress })
    if (notDueReason || !placement)
      return notDueReason ?? OrderResult.Current
    this.orderInProgress = true
    const result = await this.sendOrder(placement)
    this.orderInProgress = false
    this.recordResult(placement, result)
    return result
  }

  private async sendOrder(placement: Placement): Promise<OrderResult> {
    const { model, version, adapters, fence } = placement
    if (model !== undefined && version !== undefined) {
      const { backend, weights } = this.options
      const refusal = findWeightsRefusal(await weights.find(model, version)) ?? await this.confirmFence(placement)
      if (refusal)
        return refusal
      const ordered = await backend.order({ fence, model, version, adapters })
      if (ordered.isErr()) {
        log('order-failed', { backend: this.options.backendName, fence, error: ordered.error.message })
        return OrderResult.Failed
      }
    }
    this.appliedFence = fence
    this.appliedPlacement = placement
    return OrderResult.Applied
  }

  /** Checks the log just before an order: this process may have been paused and replaced by another one. */
  private async confirmFence({ checksOrders, fence }: Placement): Promise<OrderResult | undefined> {
    const requestedAt = this.now()
    const confirmed = checksOrders || await this.options.configurationStatus.confirmLatest()
    const confirmationAgeMs = this.now() - requestedAt
    return findSendRefusal({ checksOrders, confirmed, confirmationAgeMs, fence, latestFence: this.resolveConfigured()?.fence })
  }

  private resolveConfigured(): Placement | undefined {
    return resolvePlacement(this.options.configuration, this.options.backendName)
  }

  private recordResult(placement: Placement, result: OrderResult): void {
    const { fence, model, version, adapters } = placement
    log('order', { backend: this.options.backendName, fence, model, version, adapters: adapters.join(','), result })
    this.options.metrics.recordOrder(result)
  }
}
