/**
 * Tracks which software versions the backend servers of each service have, or had
 * until recently. Kept in memory from the start of the process; follows the
 * registry of backend servers.
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { ServingVersion } from '../../request/continuation/origin-decision.js'
import type { BackendListener } from '../backend-registry.js'

/** Stands for backend servers whose entries name no version. */
export const UNNAMED_VERSION = ''

/** The part of the registry that is followed. */
export interface VersionedBackends {
  readonly all: Iterable<Backend>
  /** Whether a whole list was loaded, so that any backend server added from now on has just started. */
  readonly isWholeListLoaded: boolean
  listen: (listener: BackendListener) => void
}

/** Options of the history. */
export interface VersionHistoryOptions {
  /** Called with a service when a further version of it is listed, for the first time or again. */
  onChange?: (service: string) => void
  /** Longest life of a stream of a service, in milliseconds. @default Infinity */
  lifeMs?: (service: string) => number
}

/** What is known of one service besides its listed backend servers. */
class ServiceVersions {
  /** When each version was first listed; negative infinity if that is not known. */
  readonly listedAt = new Map<string, number>()
  /** When the last backend server of a version was removed. */
  readonly removedAt = new Map<string, number>()
  /** When a version was last listed, for the first time or again, that was not the only one. */
  changedAt = Number.NEGATIVE_INFINITY
}

/** The versions of all services. Times are on the monotonic clock, in milliseconds. */
export class VersionHistory {
  private readonly services = new Map<string, ServiceVersions>()

  constructor(private readonly backends: VersionedBackends, private readonly options: VersionHistoryOptions = {}) {
    backends.listen({
      added: backend => this.noteListed(backend.service, versionOf(backend), this.backends.isWholeListLoaded ? performance.now() : Number.NEGATIVE_INFINITY),
      // It has had the version all the time.
      versionLearned: backend => this.noteListed(backend.service, versionOf(backend), Number.NEGATIVE_INFINITY),
      removed: backend => this.noteServed(backend.service, versionOf(backend), performance.now()),
    })
  }

  /** Records that a version served until `now`. */
  noteServed(service: string, version: string, now: number): void {
    const state = this.stateOf(service)
    if (!state.listedAt.has(version))
      state.listedAt.set(version, Number.NEGATIVE_INFINITY)
    state.removedAt.set(version, now)
  }

  /** Whether any entry of a service has named a version since this process started. */
  namesVersions(service: string): boolean {
    const listedAt = this.services.get(service)?.listedAt
    return listedAt !== undefined && (listedAt.size > 1 || !listedAt.has(UNNAMED_VERSION))
  }

  /** Milliseconds since the version of a backend server was first listed. */
  ageMs(backend: Backend, now: number): number {
    return this.versionAgeMs(backend.service, versionOf(backend), now)
  }

  /** Versions of a service that are listed, or were within the last `withinMs`, with the time since each was first listed. */
  serving(service: string, withinMs: number, now: number): ServingVersion[] {
    return this.recent(service, withinMs, now).map(version => ({ version, ageMs: this.versionAgeMs(service, version, now) }))
  }

  /** Versions of a service that are listed, or were within the last `withinMs`; sorted. */
  recent(service: string, withinMs: number, now: number): string[] {
    const versions = new Set<string>()
    for (const backend of this.backends.all) {
      if (backend.service === service)
        versions.add(versionOf(backend))
    }
    for (const [version, at] of this.services.get(service)?.removedAt ?? []) {
      if (now - at < withinMs)
        versions.add(version)
    }
    return [...versions].sort()
  }

  /** Milliseconds since a further version of a service was first listed; Infinity if there was none. */
  changedForMs(service: string, now: number): number {
    return now - (this.services.get(service)?.changedAt ?? Number.NEGATIVE_INFINITY)
  }

  /** Milliseconds since a version was first listed; Infinity if it is not known when that was. */
  private versionAgeMs(service: string, version: string, now: number): number {
    return now - (this.services.get(service)?.listedAt.get(version) ?? Number.NEGATIVE_INFINITY)
  }

  /** Records a listed version; `since` is negative infinity if it is not known when it was first listed. */
  private noteListed(service: string, version: string, since: number): void {
    const state = this.stateOf(service)
    if (!state.listedAt.has(version) || this.hasNoStreamLeft(service, version))
      state.listedAt.set(version, since)
    else if (this.countListed(service, version) > 1)
      return
    if (state.listedAt.size === 1)
      return
    if (Number.isFinite(since))
      state.changedAt = since
    this.options.onChange?.(service)
  }

  /** Whether all streams of a version have ended, since none of its backend servers was listed for the life of a stream. */
  private hasNoStreamLeft(service: string, version: string): boolean {
    const removedAt = this.services.get(service)?.removedAt.get(version) ?? Number.POSITIVE_INFINITY
    const lifeMs = this.options.lifeMs?.(service) ?? Number.POSITIVE_INFINITY
    return this.countListed(service, version) === 1 && performance.now() - removedAt > lifeMs
  }

  private countListed(service: string, version: string): number {
    return [...this.backends.all].filter(backend => backend.service === service && versionOf(backend) === version).length
  }

  private stateOf(service: string): ServiceVersions {
    const known = this.services.get(service)
    if (known)
      return known
    const created = new ServiceVersions()
    this.services.set(service, created)
    return created
  }
}

function versionOf(backend: Backend): string {
  return backend.softwareVersion ?? UNNAMED_VERSION
}
