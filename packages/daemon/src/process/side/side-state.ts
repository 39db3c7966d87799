/**
 * The state of a side as the stage runner and the readiness check need it,
 * derived from the components that own it. Owns only whether the process is
 * stopping.
 */
import type { RefusalReason, StageCall } from '../../connection/messages.js'
import type { SideState } from '../../request/side/stage-runner.js'
import type { Configuration } from '../../version/configuration.js'
import type { BackendHealthMonitor } from './backend-health-monitor.js'
import type { DrainInputs, DrainReason } from './draining.js'
import type { PlacementReconciler } from './placement-reconciler.js'
import type { SideConfiguration } from './side-configuration.js'
import { createLogger } from '@eidermast/common'
import { ObjectKind } from '../../version/objects.js'
import { isOrderedIn, resolvePlacement } from '../../version/placement.js'
import { findRefusal } from './call-refusal.js'
import { findDrainReason } from './draining.js'

const log = createLogger('process')

/** Dependencies of the state of a side. */
export interface CurrentSideStateOptions {
  backendName: string
  incarnation: string
  configuration: Configuration
  sideConfiguration: SideConfiguration
  healthMonitor: BackendHealthMonitor
  reconciler: PlacementReconciler
}

/** Current state of one side. */
export class CurrentSideState implements SideState {
  /** Whether the process is stopping. */
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
    const { orderedIn, configurationKnown, backendDraining } = this.drainInputs()
    return backendDraining || (configurationKnown && !orderedIn)
  }

  /** Returns why a call is refused; undefined if it is accepted. */
  findRefusal(call: StageCall): RefusalReason | undefined {
    const { backendName, configuration, reconciler } = this.options
    return findRefusal(call, {
      draining: this.draining,
      backendName,
      role: configuration.get(ObjectKind.Backend, backendName)?.value.role,
      placement: resolvePlacement(configuration, backendName),
      appliedPlacement: reconciler.placement,
    })
  }

  /** Logs the drain reason if it has changed since the last call. */
  logDraining(): void {
    const { drainReason: reason } = this
    if (reason === this.loggedReason)
      return
    this.loggedReason = reason
    log('draining', { name: this.options.backendName, reason: reason ?? 'none' })
  }

  private get drainReason(): DrainReason | undefined {
    return findDrainReason(this.drainInputs())
  }

  private drainInputs(): DrainInputs {
    const { backendName, configuration, sideConfiguration, healthMonitor, reconciler } = this.options
    return {
      stopping: this.stopping,
      configurationKnown: sideConfiguration.isKnown,
      orderedIn: isOrderedIn(configuration, backendName),
      backendDraining: healthMonitor.draining,
      backendDown: healthMonitor.down,
      requiresModel: resolvePlacement(configuration, backendName)?.model !== undefined,
      placementApplied: reconciler.placement !== undefined,
    }
  }
}
