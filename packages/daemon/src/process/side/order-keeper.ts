/**
 * A side's task that brings its backend server in line with its placement, by
 * fenced orders: carries out what `order-decision` decides. Owns the fence of
 * the newest order that took effect and what it placed, for the life of this
 * process and of the backend server's; another process orders again, with a
 * fence at least as high.
 */
import type { BackendClient } from '../../connection/backend-client.js'
import type { Configuration } from '../../version/configuration.js'
import type { Placement } from '../../version/placement.js'
import type { SideMetrics } from '../metrics.js'
import type { WeightStore } from './weight-store.js'
import { createLogger, wait } from '@eidermast/common'
import { resolvePlacement } from '../../version/placement.js'
import { NO_OFFSET } from '../../version/record.js'
import { findNotDue, findSendHindrance, findWeightsHindrance, OrderResult } from './order-decision.js'

const log = createLogger('placement')

/** Who knows whether the configuration is the newest. */
export interface NewestConfiguration {
  /** Whether the newest configuration was learnt from the log or a peer in this process life. */
  readonly isKnown: boolean
  /** Asks the log whether this configuration is the newest, and takes over what is newer. */
  confirmNewest: () => Promise<boolean>
}

/** Parts of an order keeper. */
export interface OrderKeeperOptions {
  backendName: string
  configuration: Configuration
  newest: NewestConfiguration
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
 * Milliseconds between tries of an order that is not in force. Half doubles the
 * load on the weight store, twice delays a rollout after an outage.
 */
const RETRY_MS = 300

/** Keeps one backend server's placement. */
export class OrderKeeper {
  private appliedFence = NO_OFFSET
  private held: Placement | undefined
  private ordering = false
  private readonly now: () => number

  constructor(private readonly options: OrderKeeperOptions) {
    this.now = options.now ?? (() => performance.now())
  }

  /** What the backend server holds by the newest order that took effect. */
  get placement(): Placement | undefined {
    return this.held
  }

  /** Takes note that the backend server is another process life, which holds nothing. */
  forget(): void {
    this.appliedFence = NO_OFFSET
    this.held = undefined
  }

  /** Applies placements as the configuration advances, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.applyNewest()
      await wait(RETRY_MS, signal)
    }
  }

  /** Orders the newest placement where it is not in force yet. */
  async applyNewest(): Promise<OrderResult> {
    const { appliedFence, ordering } = this
    const placement = this.resolveNewest()
    const notDue = findNotDue({ configurationKnown: this.options.newest.isKnown, fence: placement?.fence, appliedFence, ordering })
    if (notDue || !placement)
      return notDue ?? OrderResult.Current
    this.ordering = true
    const result = await this.order(placement)
    this.ordering = false
    this.report(placement, result)
    return result
  }

  private async order(placement: Placement): Promise<OrderResult> {
    const { model, version, adapters, fence } = placement
    if (model !== undefined && version !== undefined) {
      const { backend, weights } = this.options
      const hindrance = findWeightsHindrance(await weights.find(model, version)) ?? await this.checkFence(placement)
      if (hindrance)
        return hindrance
      const ordered = await backend.order({ fence, model, version, adapters })
      if (ordered.isErr()) {
        log('order-failed', { backend: this.options.backendName, fence, error: ordered.error.message })
        return OrderResult.Failed
      }
    }
    this.appliedFence = fence
    this.held = placement
    return OrderResult.Applied
  }

  /** Asks the log just before an order: this process may have been paused while another took its place. */
  private async checkFence({ checksOrders, fence }: Placement): Promise<OrderResult | undefined> {
    const askedAt = this.now()
    const confirmed = checksOrders || await this.options.newest.confirmNewest()
    const confirmationAgeMs = this.now() - askedAt
    return findSendHindrance({ checksOrders, confirmed, confirmationAgeMs, fence, newestFence: this.resolveNewest()?.fence })
  }

  private resolveNewest(): Placement | undefined {
    return resolvePlacement(this.options.configuration, this.options.backendName)
  }

  private report(placement: Placement, result: OrderResult): void {
    const { fence, model, version, adapters } = placement
    log('order', { backend: this.options.backendName, fence, model, version, adapters: adapters.join(','), result })
    this.options.metrics.recordOrder(result)
  }
}
