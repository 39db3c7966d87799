/**
 * The log events of the registry of backend servers, one function an event.
 */
import type { EventLog } from '@eidermast/common'
import type { BackendRecord } from '../connection/backends/backend.js'

/** Writes the events of the registry. */
export class BackendLog {
  constructor(private readonly log: EventLog) {}

  added({ id, service, failureDomain, address, draining }: BackendRecord): void {
    this.log.write('backend-added', { backend: id, service, failureDomain, address, draining })
  }

  /** It began to leave, or takes work again. */
  stateChanged({ id, service, draining }: BackendRecord): void {
    this.log.write('backend-state', { backend: id, service, draining })
  }

  /** Its entry is gone, and it is used on for this long, in milliseconds. */
  lapsed(backend: string, usedForMs: number): void {
    this.log.write('backend-lapsed', { backend, usedForMs: Math.round(usedForMs) })
  }

  removed({ id, service }: BackendRecord, reason: string): void {
    this.log.write('backend-removed', { backend: id, service, reason })
  }
}
