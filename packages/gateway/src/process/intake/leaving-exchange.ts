/**
 * Passes between gateways, by heartbeats, which backend servers say in their
 * answers that they leave, while the list does not say so: one gateway's word
 * keeps all from sending there. It owns these until the list says so too, in
 * memory; a gateway that starts hears of them from its first peer.
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { LeavingMessage } from '../../connection/peers/intake-message.js'
import type { BackendRegistry } from '../backend-registry.js'

/** Backend servers that one heartbeat tells; a bound on its size. */
const MAX_REPORTED = 64

/** Tells peers which backend servers leave, and takes what they tell. */
export class LeavingExchange {
  private readonly leaving = new Set<Backend>()

  constructor(
    private readonly registry: Pick<BackendRegistry, 'find'>,
    /** A backend server leaves, by the word of a peer. */
    private readonly onLeaving: (backend: Backend, peer: string) => void,
  ) {}

  /** A backend server says that it leaves. */
  note(backend: Backend): void {
    this.leaving.add(backend)
  }

  /** What peers are told; undefined where there is nothing, which is most of the time. */
  messages(): LeavingMessage[] | undefined {
    for (const backend of this.leaving) {
      if (backend.removed || backend.record.draining)
        this.leaving.delete(backend)
    }
    const told = [...this.leaving].slice(-MAX_REPORTED)
    return told.length > 0 ? told.map(({ id, life }) => ({ backend: id, life })) : undefined
  }

  /** Takes what a peer told. */
  take(messages: readonly LeavingMessage[], peer: string): void {
    for (const { backend: id, life } of messages) {
      const backend = this.registry.find(id)
      if (backend?.life !== life || !backend.intake.takeLeaving())
        continue
      this.note(backend)
      this.onLeaving(backend, peer)
    }
  }
}
