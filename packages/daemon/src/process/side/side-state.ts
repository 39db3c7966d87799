/**
 * What the stage runner and the status need to know of their side, read from
 * the parts that own it. Owns only whether the process is stopping.
 */
import type { RefusalReason, StageCall } from '../../connection/messages.js'
import type { SideState } from '../../request/side/stage-runner.js'
import type { Configuration } from '../../version/configuration.js'
import type { BackendWatch } from './backend-watch.js'
import type { DrainReason, DrainSigns } from './draining.js'
import type { OrderKeeper } from './order-keeper.js'
import type { SideConfiguration } from './side-configuration.js'
import { createLogger } from '@eidermast/common'
import { ObjectKind } from '../../version/objects.js'
import { isOrderedIn, resolvePlacement } from '../../version/placement.js'
import { findRefusal } from './call-refusal.js'
import { findDrainReason } from './draining.js'

const log = createLogger('process')

/** Parts that know a side's state. */
export interface CurrentSideStateOptions {
  backendName: string
  incarnation: string
  configuration: Configuration
  newest: SideConfiguration
  watch: BackendWatch
  orders: OrderKeeper
}

/** The state of one side as of now. */
export class CurrentSideState implements SideState {
  /** Whether the process was asked to stop. */
  stopping = false
  private loggedReason: DrainReason | undefined

  constructor(private readonly options: CurrentSideStateOptions) {}

  get incarnation(): string {
    return this.options.incarnation
  }

  get offset(): number {
    return this.options.configuration.offset
  }

  get draining(): boolean {
    return this.drainReason !== undefined
  }

  get backendLeaving(): boolean {
    const { orderedIn, configurationKnown, backendDraining } = this.drainSigns()
    return backendDraining || (configurationKnown && !orderedIn)
  }

  /** Why new work is refused, or undefined while it is taken. */
  refusal(call: StageCall): RefusalReason | undefined {
    const { backendName, configuration, orders } = this.options
    return findRefusal(call, {
      draining: this.draining,
      backendName,
      role: configuration.get(ObjectKind.Backend, backendName)?.value.role,
      placement: resolvePlacement(configuration, backendName),
      held: orders.placement,
    })
  }

  /** Logs why the side drains where that has changed. */
  logDraining(): void {
    const { drainReason: reason } = this
    if (reason === this.loggedReason)
      return
    this.loggedReason = reason
    log('draining', { name: this.options.backendName, reason: reason ?? 'none' })
  }

  private get drainReason(): DrainReason | undefined {
    return findDrainReason(this.drainSigns())
  }

  private drainSigns(): DrainSigns {
    const { backendName, configuration, newest, watch, orders } = this.options
    return {
      stopping: this.stopping,
      configurationKnown: newest.isKnown,
      orderedIn: isOrderedIn(configuration, backendName),
      backendDraining: watch.draining,
      backendDown: watch.down,
      wantsModel: resolvePlacement(configuration, backendName)?.model !== undefined,
      holdsPlacement: orders.placement !== undefined,
    }
  }
}
