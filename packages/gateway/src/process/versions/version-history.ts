/**
 * Tracks which software versions the backend servers of each service have, or had
 * until recently. Kept in memory from the start of the process; follows the
 * registry of backend servers.
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { BackendListener } from '../backend-registry.js'

/** Stands for backend servers whose entries name no version. */
const UNNAMED_VERSION = ''

/** The part of the registry that is followed. */
export interface VersionedBackends {
  readonly all: Iterable<Backend>
  listen: (listener: BackendListener) => void
}

/** The versions of all services. Times are on the monotonic clock, in milliseconds. */
export class VersionHistory {
  /** When a backend server of a version was last removed, by service and version. */
  private readonly removedAt = new Map<string, Map<string, number>>()

  constructor(private readonly backends: VersionedBackends) {
    backends.listen({ removed: backend => this.noteServed(backend.service, versionOf(backend), performance.now()) })
  }

  /** Records that a version served until `now`. */
  noteServed(service: string, version: string, now: number): void {
    const versions = this.removedAt.get(service) ?? new Map<string, number>()
    this.removedAt.set(service, versions.set(version, now))
  }

  /** Whether any entry of a service has named a version since this process started. */
  namesVersions(service: string): boolean {
    return this.recent(service, Number.POSITIVE_INFINITY, 0).some(version => version !== UNNAMED_VERSION)
  }

  /** Versions of a service that are listed, or were within the last `withinMs`; sorted. */
  recent(service: string, withinMs: number, now: number): string[] {
    const listed = [...this.backends.all].filter(backend => backend.service === service).map(versionOf)
    const removed = [...this.removedAt.get(service) ?? []].filter(([, at]) => now - at < withinMs).map(([version]) => version)
    return [...new Set([...listed, ...removed])].sort()
  }
}

function versionOf(backend: Backend): string {
  return backend.softwareVersion ?? UNNAMED_VERSION
}
