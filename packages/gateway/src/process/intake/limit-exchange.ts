/**
 * Shares rate limits of backend servers between gateways, in heartbeats, so that
 * a gateway that has not called a backend server learns of its limit, and all
 * learn of the end of a limit though each calls the backend server seldom. Owns
 * the recent changes, in memory; a gateway that starts learns of a limit from its
 * own calls.
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { LimitMessage } from '../../connection/peers/intake-message.js'
import type { BackendRegistry } from '../backend-registry.js'

/** Time for which a change is reported, so that some heartbeats and replies may be lost. */
const REPORTED_FOR_MS = 2000
/** Newest changes in one heartbeat; bounds its size. */
const MAX_REPORTED_CHANGES = 64

/** Reports changes of limits to peers, and applies the reports of peers. */
export class LimitExchange {
  /** Backend servers whose limit changed recently, by incarnation, newest last. */
  private readonly recentlyChanged = new Map<string, Backend>()

  constructor(
    private readonly registry: Pick<BackendRegistry, 'find'>,
    /** Called when the report of a peer changes a limit. */
    private readonly onChange: (backend: Backend, previous: number | undefined, peer: string) => void,
  ) {}

  /** Records a change of the limit of a backend server. */
  note(backend: Backend): void {
    this.recentlyChanged.delete(backend.incarnation)
    this.recentlyChanged.set(backend.incarnation, backend)
  }

  /** Returns the reports for peers; undefined if no limit changed recently, which is the usual case. */
  messages(now: number): LimitMessage[] | undefined {
    const messages = [...this.recentlyChanged.values()].flatMap(backend => this.toMessage(backend, now)).slice(-MAX_REPORTED_CHANGES)
    return messages.length > 0 ? messages : undefined
  }

  /** Applies the reports of a peer. */
  receive(messages: readonly LimitMessage[], peer: string, now: number): void {
    for (const message of messages) {
      const backend = this.registry.find(message.backend)
      if (backend?.incarnation !== message.life)
        continue
      const previous = backend.intake.limitPerSecond
      if (!backend.intake.mergeReportedLimit(message, now))
        continue
      this.note(backend)
      this.onChange(backend, previous, peer)
    }
  }

  private toMessage(backend: Backend, now: number): LimitMessage[] {
    const reported = backend.intake.reportLimit(now)
    if (reported && reported.ageMs < REPORTED_FOR_MS)
      return [{ backend: backend.id, life: backend.incarnation, ...reported }]
    this.recentlyChanged.delete(backend.incarnation)
    return []
  }
}
