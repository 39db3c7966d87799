/**
 * Decides which failure domains are evacuated, from the operator's records and
 * from reports of other gateways.
 *
 * Inputs: orders with their revisions, from this process's own reads of the
 * operator's records (at most one read old) and from heartbeats of peers (at most
 * one heartbeat old), in any order and possibly repeated.
 * Rule: for each failure domain, the order with the highest revision applies. A
 * full read of the records revokes orders that it does not contain and that are
 * older than the read. If the records were restored from an older snapshot,
 * orders missing from it stay in force until they appear again.
 * Why: a revoked order is remembered as such, so that a gateway that learns of
 * the revocation before the order does not evacuate afterwards. Orders are few
 * and small; every heartbeat carries all of them, and no gateway depends on its
 * own reads. An older snapshot lacks orders that were acknowledged to operators:
 * sending requests there violates them, whereas evacuating a failure domain for
 * longer only costs capacity.
 * Log event: `evacuation`.
 *
 * State: the newest order for each failure domain, in memory. A starting process
 * has none and takes them from the first source that provides them, before it has
 * a configuration and serves.
 */
import type { EvacuationOrder, EvacuationOrders } from '../../version/evacuation-order.js'
import type { GatewayLog } from '../gateway-log.js'
import type { EvacuationSink } from '../platform-adapter.js'
import { positionOf } from '../../connection/backends/revision.js'

/** Source in the log for this process's own reads. */
const OWN_READ_SOURCE = 'platform'

/** Keeps the newest orders and applies each change once. */
export class EvacuationList implements EvacuationSink {
  private readonly byDomain = new Map<string, EvacuationOrder>()

  /** Takes a callback for the evacuated failure domains, called at each change. */
  constructor(
    private readonly log: Pick<GatewayLog, 'evacuationChanged'>,
    private readonly onChange: (evacuated: ReadonlySet<string>) => void,
  ) {}

  /** The failure domains whose backend servers receive no requests. */
  get evacuated(): ReadonlySet<string> {
    return new Set(this.orders.filter(order => order.evacuated).map(({ failureDomain }) => failureDomain))
  }

  /** The newest order for each failure domain, as sent to peers. */
  get orders(): EvacuationOrder[] {
    return [...this.byDomain.values()]
  }

  replaceAll({ revision, orders }: EvacuationOrders): void {
    const listed = new Set(orders.map(({ failureDomain }) => failureDomain))
    const revoked = this.orders.filter(order => !listed.has(order.failureDomain) && isRevokedBy(order, revision))
    this.applyAll([...orders, ...revoked.map(order => ({ ...order, evacuated: false, revision }))], OWN_READ_SOURCE)
  }

  apply(order: EvacuationOrder): void {
    this.applyAll([order], OWN_READ_SOURCE)
  }

  /** Applies orders received from a peer. */
  applyPeerOrders(orders: readonly EvacuationOrder[], peer: string): void {
    this.applyAll(orders, peer)
  }

  private applyAll(orders: readonly EvacuationOrder[], source: string): void {
    const changes = orders.filter(order => this.applyIfNewer(order))
    for (const order of changes)
      this.log.evacuationChanged(order, source)
    if (changes.length > 0)
      this.onChange(this.evacuated)
  }

  /** Stores an order if it is newer. Returns whether that changes the evacuation of its failure domain. */
  private applyIfNewer(order: EvacuationOrder): boolean {
    const known = this.byDomain.get(order.failureDomain)
    if (known && known.revision >= order.revision)
      return false
    this.byDomain.set(order.failureDomain, order)
    return order.evacuated !== (known?.evacuated ?? false)
  }
}

/** Whether a full read up to a revision revokes an order that it does not contain. */
function isRevokedBy(order: EvacuationOrder, revision: number): boolean {
  return order.evacuated && order.revision <= revision && positionOf(order.revision).era === positionOf(revision).era
}
