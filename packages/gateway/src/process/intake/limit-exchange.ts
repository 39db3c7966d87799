/**
 * Passes limits that backend servers name between gateways, by heartbeats: one
 * that never asked a backend server hears that it is in need, and all hear that
 * it no longer is, though each sends there seldom. It owns which limits changed
 * lately, in memory; a gateway that starts hears of a limit from its own calls.
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { LimitMessage } from '../../connection/peers/intake-message.js'
import type { BackendRegistry } from '../backend-registry.js'

/** Milliseconds for which a change is told: some heartbeats and their answers may be lost. */
const REPORTED_FOR_MS = 2000
/** Changes that one heartbeat tells, the newest ones; a bound on its size. */
const MAX_REPORTED = 64

/** Tells peers which limits changed, and takes what they tell. */
export class LimitExchange {
  /** Backend servers whose limit changed lately, by their life; the newest come last. */
  private readonly changed = new Map<string, Backend>()

  constructor(
    private readonly registry: Pick<BackendRegistry, 'find'>,
    /** A peer's word changed a limit. */
    private readonly onChange: (backend: Backend, previous: number | undefined, peer: string) => void,
  ) {}

  /** The limit of a backend server changed. */
  note(backend: Backend): void {
    this.changed.delete(backend.life)
    this.changed.set(backend.life, backend)
  }

  /** What peers are told; undefined where no limit changed lately, which is most of the time. */
  messages(now: number): LimitMessage[] | undefined {
    const messages = [...this.changed.values()].flatMap(backend => this.messageOf(backend, now)).slice(-MAX_REPORTED)
    return messages.length > 0 ? messages : undefined
  }

  /** Takes what a peer told. */
  take(messages: readonly LimitMessage[], peer: string, now: number): void {
    for (const message of messages) {
      const backend = this.registry.find(message.backend)
      if (backend?.life !== message.life)
        continue
      const previous = backend.intake.limitPerSecond
      if (!backend.intake.takeReportedLimit(message, now))
        continue
      this.note(backend)
      this.onChange(backend, previous, peer)
    }
  }

  private messageOf(backend: Backend, now: number): LimitMessage[] {
    const told = backend.intake.reportLimit(now)
    if (told && told.ageMs < REPORTED_FOR_MS)
      return [{ backend: backend.id, life: backend.life, ...told }]
    this.changed.delete(backend.life)
    return []
  }
}
