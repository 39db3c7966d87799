/**
 * A side's task that brings its backend server in line with its placement, by
 * fenced orders. One order is under way at a time, and fences only rise.
 */
import type { BackendClient } from '../connection/backend-client.js'
import type { Configuration } from '../version/configuration.js'
import type { Placement } from '../version/placement.js'
import type { SideMetrics } from './metrics.js'
import type { WeightStore } from './weight-store.js'
import { createLogger, wait } from '@eidermast/common'
import { resolvePlacement } from '../version/placement.js'
import { NO_OFFSET } from '../version/record.js'
import { WeightState } from './weight-store.js'

const log = createLogger('placement')

/** What came of an order. */
export enum OrderResult {
  Applied = 'applied',
  Failed = 'failed',
  WeightsAbsent = 'weights-absent',
  WeightsUnknown = 'weights-unknown',
  Current = 'current',
  /** The newest configuration is not known yet. */
  NotYet = 'not-yet',
  /** The log could not confirm that no newer order exists. */
  NotConfirmed = 'not-confirmed',
}

/** Parts of an order keeper. */
export interface OrderKeeperOptions {
  backendName: string
  configuration: Configuration
  backend: BackendClient
  weights: WeightStore
  metrics: SideMetrics
  /** Whether the newest configuration was learnt from the log or a peer in this process life. */
  isConfigurationKnown: () => boolean
  /** Asks the log whether this configuration is the newest, and takes over what is newer. */
  confirmNewest: () => Promise<boolean>
  /**
   * Monotonic clock, in milliseconds.
   * @default performance.now
   */
  now?: () => number
}

const RETRY_MS = 300
/** Time for which the log's confirmation holds, in milliseconds; a pause of this process shows as a longer one. */
const CONFIRMATION_MS = 1000

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
    if (!this.options.isConfigurationKnown())
      return OrderResult.NotYet
    const placement = resolvePlacement(this.options.configuration, this.options.backendName)
    if (!placement || placement.fence <= this.appliedFence)
      return OrderResult.Current
    // One order at a time: two under way could arrive in the wrong order.
    if (this.ordering)
      return OrderResult.NotYet
    this.ordering = true
    const result = await this.order(placement)
    this.ordering = false
    log('order', { backend: this.options.backendName, fence: placement.fence, model: placement.model, version: placement.version, adapters: placement.adapters.join(','), result })
    this.options.metrics.recordOrder(result)
    return result
  }

  private async order(placement: Placement): Promise<OrderResult> {
    const { model, version, adapters, fence } = placement
    if (model !== undefined && version !== undefined) {
      const weights = await this.options.weights.find(model, version)
      if (weights === WeightState.Absent)
        return OrderResult.WeightsAbsent
      if (weights === WeightState.Unknown)
        return OrderResult.WeightsUnknown
      const hindrance = await this.checkFence(placement)
      if (hindrance)
        return hindrance
      if (!await this.options.backend.order({ fence, model, version, adapters }))
        return OrderResult.Failed
    }
    this.appliedFence = fence
    this.held = placement
    return OrderResult.Applied
  }

  /**
   * Why an order must not be sent, or undefined. For a backend server that does
   * not check fences, the log is asked just before: this process may have been
   * paused while another took its place.
   */
  private async checkFence(placement: Placement): Promise<OrderResult | undefined> {
    const askedAt = this.now()
    if (!placement.checksOrders && !await this.options.confirmNewest())
      return OrderResult.NotConfirmed
    if (this.now() - askedAt > CONFIRMATION_MS)
      return OrderResult.NotConfirmed
    const newest = resolvePlacement(this.options.configuration, this.options.backendName)
    return newest && newest.fence > placement.fence ? OrderResult.NotYet : undefined
  }
}
