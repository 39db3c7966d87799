/**
 * Decides which failure domains are evacuated, from the operator's records and
 * from what other gateways tell.
 *
 * Inputs: orders with their revisions, from this process's own reads of the
 * operator's records (at most one read old) and from heartbeats of peers (at
 * most one heartbeat old), in any order and as often as they come.
 * Rule: for each failure domain the order with the highest revision holds. A
 * whole read of the records takes back what it does not name and is older than
 * the read. Where the records came back from an older copy, what they lack
 * stays evacuated until they name it again.
 * Why: an order that was taken back is remembered as such, so that a gateway
 * that hears of the end before the beginning does not evacuate afterwards.
 * Orders are few and small: they go whole with each heartbeat, and no gateway
 * depends on its own reads for them. An older copy lacks orders that operators
 * were told are in force; sending there breaks them, a pause costs capacity.
 * Log event: `evacuation`.
 *
 * State: the newest order about each failure domain, in memory. A process that
 * starts has none and takes them from the first source that brings them, which
 * is before it has a configuration and serves.
 */
import type { EvacuationOrder, EvacuationOrders } from '../../version/evacuation-order.js'
import type { GatewayLog } from '../gateway-log.js'
import type { EvacuationSink } from '../platform-adapter.js'
import { positionOf } from '../../connection/backends/revision.js'

/** Name of this process's own reads in the log. */
const OWN_READS = 'platform'

/** Keeps the newest orders; each change goes on once. */
export class EvacuationList implements EvacuationSink {
  private readonly byDomain = new Map<string, EvacuationOrder>()

  /** Calls back with the evacuated failure domains at each change of them. */
  constructor(
    private readonly log: Pick<GatewayLog, 'evacuationChanged'>,
    private readonly onChange: (evacuated: ReadonlySet<string>) => void,
  ) {}

  /** The failure domains whose backend servers get nothing. */
  get evacuated(): ReadonlySet<string> {
    return new Set(this.orders.filter(order => order.evacuated).map(({ failureDomain }) => failureDomain))
  }

  /** The newest order about each failure domain, as peers are told. */
  get orders(): EvacuationOrder[] {
    return [...this.byDomain.values()]
  }

  replaceAll({ revision, orders }: EvacuationOrders): void {
    const named = new Set(orders.map(({ failureDomain }) => failureDomain))
    const missing = this.orders.filter(order => !named.has(order.failureDomain) && isTakenBackAt(order, revision))
    this.takeAll([...orders, ...missing.map(order => ({ ...order, evacuated: false, revision }))], OWN_READS)
  }

  apply(order: EvacuationOrder): void {
    this.takeAll([order], OWN_READS)
  }

  /** Takes the orders that a peer told. */
  adopt(orders: readonly EvacuationOrder[], peer: string): void {
    this.takeAll(orders, peer)
  }

  private takeAll(orders: readonly EvacuationOrder[], source: string): void {
    const changes = orders.filter(order => this.isChanged(order))
    for (const order of changes)
      this.log.evacuationChanged(order, source)
    if (changes.length > 0)
      this.onChange(this.evacuated)
  }

  /** Keeps an order where it is newer; returns whether it changes what holds. */
  private isChanged(order: EvacuationOrder): boolean {
    const known = this.byDomain.get(order.failureDomain)
    if (known && known.revision >= order.revision)
      return false
    this.byDomain.set(order.failureDomain, order)
    return order.evacuated !== (known?.evacuated ?? false)
  }
}

/** Whether a whole read up to a revision that does not name an order's failure domain says that the order was taken back. */
function isTakenBackAt(order: EvacuationOrder, revision: number): boolean {
  return order.evacuated && order.revision <= revision && positionOf(order.revision).era === positionOf(revision).era
}
