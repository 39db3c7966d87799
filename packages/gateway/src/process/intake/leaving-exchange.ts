/**
 * Shares between gateways, in heartbeats, which backend servers announced in a
 * response that they are leaving, before the platform's list shows it. After a
 * response to one gateway, none of them sends requests there. Keeps these backend
 * servers in memory until the list shows it as well; a gateway that starts learns
 * of them from the first peer that it exchanges heartbeats with.
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { LeavingMessage } from '../../connection/peers/intake-message.js'
import type { BackendRegistry } from '../backend-registry.js'

/** Bounds the size of a heartbeat. */
const MAX_REPORTED_BACKENDS = 64

/** Reports leaving backend servers to peers, and applies the reports of peers. */
export class LeavingExchange {
  private readonly leaving = new Set<Backend>()

  constructor(
    private readonly registry: Pick<BackendRegistry, 'find'>,
    /** Called when a peer reports that a backend server is leaving. */
    private readonly onLeaving: (backend: Backend, peer: string) => void,
  ) {}

  /** Records a backend server that announced that it is leaving. */
  note(backend: Backend): void {
    this.leaving.add(backend)
  }

  /** Returns the reports for peers; undefined if there are none, which is the usual case. */
  messages(): LeavingMessage[] | undefined {
    for (const backend of this.leaving) {
      if (backend.removed || backend.record.draining)
        this.leaving.delete(backend)
    }
    const reported = [...this.leaving].slice(-MAX_REPORTED_BACKENDS)
    return reported.length > 0 ? reported.map(({ id, incarnation }) => ({ backend: id, life: incarnation })) : undefined
  }

  /** Applies the reports of a peer. */
  receive(messages: readonly LeavingMessage[], peer: string): void {
    for (const { backend: id, life } of messages) {
      const backend = this.registry.find(id)
      if (backend?.incarnation !== life || !backend.intake.markLeaving())
        continue
      this.note(backend)
      this.onLeaving(backend, peer)
    }
  }
}
