/**
 * One backend server that an entry maintains a link to: its configuration, its
 * link and its state. Exists until the backend server is no longer watched.
 */
import type { Load } from '../../connection/messages.js'
import type { SideLink } from '../../connection/side-link.js'
import type { PlannedStage } from '../../request/plan.js'
import type { LinkedBackend } from '../../request/stages/linked-backends.js'
import type { Backend } from '../../version/objects.js'
import type { MemberState } from './member-state.js'
import type { VirtualMachineList } from './virtual-machine-list.js'
import { createLogger } from '@eidermast/common'
import { BackendRole } from '../../version/objects.js'
import { decideMemberState } from './member-state.js'

const log = createLogger('membership')

/** A backend server that an entry maintains a link to. */
export class Member implements LinkedBackend {
  private loggedState: MemberState | undefined

  constructor(
    /** Configuration of the backend server, replaced at each change. */
    public backend: Backend,
    readonly link: SideLink,
    private readonly machines: VirtualMachineList,
  ) {}

  get backendName(): string {
    return this.link.backendName
  }

  get failureDomain(): string {
    return this.backend.failureDomain
  }

  get load(): Load | undefined {
    return this.link.load
  }

  get outstanding(): number {
    return this.link.outstanding
  }

  get sentSinceReport(): number {
    return this.link.sentSinceReport
  }

  get state(): MemberState {
    return decideMemberState({
      order: this.backend.order,
      virtualMachine: this.machines.stateOf(this.backend.virtualMachine),
      answering: this.link.ready,
      draining: this.link.load?.draining === true,
    })
  }

  /** Logs the state if it has changed since the last call. */
  logState(): void {
    const { state } = this
    if (state === this.loggedState)
      return
    this.loggedState = state
    log('member', { backend: this.backendName, service: this.backend.service, state })
  }

  /** Whether this backend server has the service, model and adapter that a stage needs. */
  serves(stage: PlannedStage): boolean {
    const { service, model, version, adapters } = this.backend
    const role = stage.serviceRequest ? BackendRole.Plain : BackendRole.Stage
    if (service !== stage.service || this.backend.role !== role)
      return false
    if (stage.model !== undefined && stage.model !== model)
      return false
    if (stage.version !== undefined && stage.version !== version)
      return false
    return stage.adapter === undefined || adapters.includes(stage.adapter)
  }
}
