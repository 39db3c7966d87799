/**
 * The backend servers that an entry knows: keeps a link to each that it
 * watches, in line with the configuration, and finds those that can take a
 * stage. Owns the links for the life of the process; they are made again from
 * the configuration after a restart. Which backend servers are watched is
 * decided in `watched-backends`, which of them take work in `member-state`.
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
import { isFirstContactOver } from './first-contact.js'
import { MemberState } from './member-state.js'
import { Member } from './member.js'
import { selectWatched } from './watched-backends.js'

/**
 * Milliseconds between looks for states that changed without a message, such as
 * a connection that closed. It delays log lines only, since each choice of a
 * backend server reads the states as they are.
 */
const STATE_LOG_INTERVAL_MS = 250

/** Options of an entry's membership. */
export interface MembershipOptions {
  entryName: string
  entryIncarnation: string
  key: string
  heartbeatIntervalMs: number
  /** Backend servers of one service that this entry keeps links to. */
  watchLimit: number
  freshness: ConfigurationFreshness
}

/** The backend servers of one entry. */
export class Membership implements LinkedBackends {
  private readonly members = new Map<string, Member>()
  private membersByService = new Map<string, Member[]>()
  private readonly unsubscribe: () => void
  /** When the first links were opened, in milliseconds of the process clock. */
  private openedAt: number | undefined
  private met = false

  constructor(
    private readonly configuration: Configuration,
    private readonly machines: VirtualMachineList,
    private readonly options: MembershipOptions,
  ) {
    this.unsubscribe = configuration.subscribe(() => this.update())
    machines.subscribe(() => this.logStates())
  }

  /** Logs changes of state until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await wait(STATE_LOG_INTERVAL_MS, signal)
      this.logStates()
    }
  }

  /** Every backend server that this entry keeps a link to. */
  list(): Member[] {
    return [...this.members.values()]
  }

  /** Whether this entry has met its backend servers; true for good once it has. */
  get hasMetBackends(): boolean {
    if (this.met || this.openedAt === undefined)
      return true
    const tried = this.list().map(member => member.link.tried)
    this.met = isFirstContactOver({ tried, sinceOpenedMs: performance.now() - this.openedAt })
    return this.met
  }

  /** Backend servers in force that hold what a stage needs. */
  candidates(stage: PlannedStage): Member[] {
    const pool = this.membersByService.get(stage.service) ?? []
    return pool.filter(member => member.serves(stage) && member.state === MemberState.InForce)
  }

  /** Whether a plain service of this name is configured; callers reach no other backend server by path. */
  knowsService(service: string): boolean {
    const backends = this.configuration.list(ObjectKind.Backend)
    return backends.some(({ value }) => value.service === service && value.role === BackendRole.Plain)
  }

  /** Brings the links in line with the configuration and carries it to the sides. */
  update(): void {
    this.openedAt ??= performance.now()
    const { entryName, watchLimit } = this.options
    const watched = selectWatched(this.configuration.list(ObjectKind.Backend), entryName, watchLimit)
    this.closeUnwatched(watched)
    for (const backend of watched)
      this.watch(backend)
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

  private closeUnwatched(watched: UsableObject<Backend>[]): void {
    const addresses = new Map(watched.map(({ name, value }) => [name, value.address]))
    for (const [name, member] of this.members) {
      if (addresses.get(name) === member.link.address)
        continue
      member.link.close()
      this.members.delete(name)
    }
  }

  private watch({ name, value: backend }: UsableObject<Backend>): void {
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
