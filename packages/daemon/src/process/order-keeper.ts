/**
 * A side's task that brings its backend server in line with its placement, by
 * fenced orders. One order is under way at a time, and fences only rise.
 */
import type { BackendClient } from '../connection/backend-client.js'
import type { Configuration } from '../version/configuration.js'
import type { Placement } from '../version/placement.js'
import type { SideMetrics } from './metrics.js'
import type { WeightStore } from './weight-store.js'
import { resolvePlacement } from '../version/placement.js'
import { NO_OFFSET } from '../version/record.js'
import { createLogger } from './logger.js'
import { wait } from './wait.js'
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
}

const RETRY_MS = 300

/** Keeps one backend server's placement. */
export class OrderKeeper {
  private appliedFence = NO_OFFSET
  private held: Placement | undefined

  constructor(private readonly options: OrderKeeperOptions) {}

  /** What the backend server holds by the newest order that took effect. */
  get placement(): Placement | undefined {
    return this.held
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
    const result = await this.order(placement)
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
      // A newer configuration may have come while the weight store was asked.
      const newest = resolvePlacement(this.options.configuration, this.options.backendName)
      if (newest && newest.fence > fence)
        return OrderResult.NotYet
      if (!await this.options.backend.order({ fence, model, version, adapters }))
        return OrderResult.Failed
    }
    this.appliedFence = fence
    this.held = placement
    return OrderResult.Applied
  }
}
