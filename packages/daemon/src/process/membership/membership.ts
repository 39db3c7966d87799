/**
 * The backend servers of an entry. Maintains a link to each watched
 * backend server of the configuration and finds those that can execute a stage.
 * Owns the links for the lifetime of the process; after a restart they are
 * recreated from the configuration. `watched-backends` decides which backend
 * servers are watched, `member-state` which of them receive work.
 */
import type { ConfigurationFreshness } from '../../connection/side-heartbeats.js'
import type { PlannedStage } from '../../request/plan.js'
import type { LinkedBackends } from '../../request/stages/linked-backends.js'
import type { Configuration, UsableObject } from '../../version/configuration.js'
import type { Backend } from '../../version/objects.js'
import type { VirtualMachineList } from './virtual-machine-list.js'
import { wait } from '@eidermast/common'
import { SideLink } from '../../connection/side-link.js'
import { BackendRole, ObjectKind } from '../../version/objects.js'
import { isInitialConnectDone } from './initial-connect.js'
import { MemberState } from './member-state.js'
import { Member } from './member.js'
import { selectWatchedBackends } from './watched-backends.js'

/**
 * Poll interval for states that change without a message, such as on a closed
 * connection. It delays log lines only, because each selection of a backend
 * server reads the current states.
 */
const STATE_LOG_INTERVAL_MS = 250

/** Options of an entry's membership. */
export interface MembershipOptions {
  entryName: string
  entryIncarnation: string
  key: string
  heartbeatIntervalMs: number
  /** Maximum number of backend servers per service that this entry maintains links to. */
  watchLimit: number
  freshness: ConfigurationFreshness
}

/** The backend servers of one entry. */
export class Membership implements LinkedBackends {
  private readonly members = new Map<string, Member>()
  private membersByService = new Map<string, Member[]>()
  private readonly unsubscribe: () => void
  /** When the first links were opened, in milliseconds of the monotonic clock. */
  private connectStartedAt: number | undefined
  private initialConnectDone = false

  constructor(
    private readonly configuration: Configuration,
    private readonly machines: VirtualMachineList,
    private readonly options: MembershipOptions,
  ) {
    this.unsubscribe = configuration.subscribe(() => this.update())
    machines.subscribe(() => this.logStates())
  }

  /** Logs state changes until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await wait(STATE_LOG_INTERVAL_MS, signal)
      this.logStates()
    }
  }

  /** Returns every backend server that this entry maintains a link to. */
  list(): Member[] {
    return [...this.members.values()]
  }

  /** Whether this entry has tried to connect to its backend servers; never reverts to false once it has. */
  get hasTriedBackends(): boolean {
    if (this.initialConnectDone || this.connectStartedAt === undefined)
      return true
    const tried = this.list().map(member => member.link.tried)
    this.initialConnectDone = isInitialConnectDone({ tried, elapsedMs: performance.now() - this.connectStartedAt })
    return this.initialConnectDone
  }

  /** Returns the available backend servers that can serve a stage. */
  candidates(stage: PlannedStage): Member[] {
    return this.findMembers(stage, MemberState.Available)
  }

  /** Whether a backend server that can serve a stage is silent, but its process is not known to have ended. */
  mayReturn(stage: PlannedStage): boolean {
    return this.findMembers(stage, MemberState.Silent).some(member => member.link.incarnation !== undefined)
  }

  /** Whether a plain service of this name is configured; callers cannot address other backend servers by path. */
  knowsService(service: string): boolean {
    const backends = this.configuration.list(ObjectKind.Backend)
    return backends.some(({ value }) => value.service === service && value.role === BackendRole.Plain)
  }

  /** Updates the links to match the configuration and propagates the configuration to the sides. */
  update(): void {
    this.connectStartedAt ??= performance.now()
    const { entryName, watchLimit } = this.options
    const watched = selectWatchedBackends(this.configuration.list(ObjectKind.Backend), entryName, watchLimit)
    this.removeUnwatched(watched)
    for (const backend of watched)
      this.addOrUpdate(backend)
    this.indexMembers()
    this.logStates()
  }

  /** Logs the members whose state has changed. */
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

  private findMembers(stage: PlannedStage, state: MemberState): Member[] {
    const pool = this.membersByService.get(stage.service) ?? []
    return pool.filter(member => member.serves(stage) && member.state === state)
  }

  private removeUnwatched(watched: UsableObject<Backend>[]): void {
    const addresses = new Map(watched.map(({ name, value }) => [name, value.address]))
    for (const [name, member] of this.members) {
      if (addresses.get(name) === member.link.address)
        continue
      member.link.close()
      this.members.delete(name)
    }
  }

  private addOrUpdate({ name, value: backend }: UsableObject<Backend>): void {
    const existing = this.members.get(name)
    if (existing) {
      existing.backend = backend
      void existing.link.pushConfiguration()
      return
    }
    const link = this.createLink(name, backend)
    this.members.set(name, new Member(backend, link, this.machines))
    void link.run()
  }

  private createLink(name: string, backend: Backend): SideLink {
    const { entryName, entryIncarnation, key, heartbeatIntervalMs, freshness } = this.options
    return new SideLink({
      backendName: name,
      address: backend.address,
      key,
      entryName,
      entryIncarnation,
      configuration: this.configuration,
      heartbeatIntervalMs,
      freshness,
      onChange: () => this.members.get(name)?.logState(),
    })
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
}
