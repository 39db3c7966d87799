/**
 * Which backend servers an entry may use. One is in force only if it is
 * configured in, its VM is listed as live and its side answers; it is leaving
 * at the first sign to the contrary from any of them.
 */
import type { Load } from '../connection/messages.js'
import type { PlannedStage } from '../request/plan.js'
import type { LinkedBackend, LinkedBackends } from '../request/stages/linked-backends.js'
import type { Configuration } from '../version/configuration.js'
import type { Backend } from '../version/objects.js'
import type { VirtualMachineList } from './virtual-machine-list.js'
import { createLogger } from '@eidermast/common'
import { SideLink } from '../connection/side-link.js'
import { rendezvousHash } from '../request/stages/choice.js'
import { BackendOrder, BackendRole, ObjectKind } from '../version/objects.js'
import { VirtualMachineState } from './virtual-machine-list.js'

const log = createLogger('membership')

/** Why a backend server takes no work, or that it does. */
export enum MemberState {
  InForce = 'in-force',
  OrderedOut = 'ordered-out',
  MachineLeaving = 'machine-leaving',
  Silent = 'silent',
  Draining = 'draining',
}

/** Options of an entry's membership. */
export interface MembershipOptions {
  entryName: string
  entryIncarnation: string
  key: string
  heartbeatIntervalMs: number
  /** Backend servers of one service that this entry keeps links to. */
  watchLimit: number
  /** Whether the log confirmed the configuration a short while ago. */
  isFresh: () => boolean
}

/** A backend server that an entry keeps a link to. */
export class Member implements LinkedBackend {
  private loggedState: MemberState | undefined

  constructor(public backend: Backend, readonly link: SideLink, private readonly machines: VirtualMachineList) {}

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

  /** The first sign of leaving, or in force. */
  get state(): MemberState {
    if (this.backend.order === BackendOrder.Out)
      return MemberState.OrderedOut
    if (this.machines.stateOf(this.backend.virtualMachine) === VirtualMachineState.Leaving)
      return MemberState.MachineLeaving
    if (!this.link.ready)
      return MemberState.Silent
    return this.link.load?.draining ? MemberState.Draining : MemberState.InForce
  }

  /** Logs the state where it has changed. */
  logState(): void {
    const { state } = this
    if (state === this.loggedState)
      return
    this.loggedState = state
    log('member', { backend: this.backendName, service: this.backend.service, state })
  }

  /** Whether this backend server holds what a stage needs. */
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

/** The backend servers of one entry. */
export class Membership implements LinkedBackends {
  private readonly members = new Map<string, Member>()
  private membersByService = new Map<string, Member[]>()
  private readonly unsubscribe: () => void

  constructor(
    private readonly configuration: Configuration,
    private readonly machines: VirtualMachineList,
    private readonly options: MembershipOptions,
  ) {
    this.unsubscribe = configuration.subscribe(() => this.update())
  }

  /** Every backend server that this entry keeps a link to. */
  list(): Member[] {
    return [...this.members.values()]
  }

  /** Backend servers in force that hold what a stage needs. */
  candidates(stage: PlannedStage): Member[] {
    const pool = this.membersByService.get(stage.service) ?? []
    return pool.filter(member => member.serves(stage) && member.state === MemberState.InForce)
  }

  /** Whether a plain service of this name is configured; callers reach no other backend server by path. */
  knowsService(service: string): boolean {
    return this.configuration.list(ObjectKind.Backend).some(({ value }) => value.service === service && value.role === BackendRole.Plain)
  }

  /** Brings the links in line with the configuration and carries it to the sides. */
  update(): void {
    const watched = this.selectWatched()
    for (const [name, member] of this.members) {
      const backend = watched.get(name)
      if (backend && backend.address === member.link.address)
        continue
      member.link.close()
      this.members.delete(name)
    }
    for (const [name, backend] of watched)
      this.watch(name, backend)
    this.indexMembers()
    this.logStates()
  }

  /** Logs every member whose state has changed. */
  logStates(): void {
    for (const member of this.members.values())
      member.logState()
  }

  /** Closes every link. */
  close(): void {
    this.unsubscribe()
    for (const member of this.members.values())
      member.link.close()
  }

  private indexMembers(): void {
    this.membersByService = new Map()
    for (const member of this.members.values()) {
      const { service } = member.backend
      const pool = this.membersByService.get(service) ?? []
      pool.push(member)
      this.membersByService.set(service, pool)
    }
  }

  private watch(name: string, backend: Backend): void {
    const existing = this.members.get(name)
    if (existing) {
      existing.backend = backend
      void existing.link.spread()
      return
    }
    const { entryName, entryIncarnation, key, heartbeatIntervalMs, isFresh } = this.options
    const link = new SideLink({
      backendName: name,
      address: backend.address,
      key,
      entryName,
      entryIncarnation,
      configuration: this.configuration,
      heartbeatIntervalMs,
      isFresh,
      onChange: () => this.members.get(name)?.logState(),
    })
    this.members.set(name, new Member(backend, link, this.machines))
    void link.run()
  }

  /** Of each service, the backend servers with the highest hash for this entry, so that none is watched by all. */
  private selectWatched(): Map<string, Backend> {
    const byService = new Map<string, { name: string, backend: Backend }[]>()
    for (const { name, value } of this.configuration.list(ObjectKind.Backend)) {
      const pool = byService.get(value.service) ?? []
      pool.push({ name, backend: value })
      byService.set(value.service, pool)
    }
    const watched = new Map<string, Backend>()
    for (const pool of byService.values()) {
      for (const { name, backend } of this.selectFromPool(pool))
        watched.set(name, backend)
    }
    return watched
  }

  private selectFromPool(pool: { name: string, backend: Backend }[]): { name: string, backend: Backend }[] {
    if (pool.length <= this.options.watchLimit)
      return pool
    const rank = (name: string): number => rendezvousHash(name, this.options.entryName)
    return pool.sort((left, right) => rank(right.name) - rank(left.name)).slice(0, this.options.watchLimit)
  }
}
