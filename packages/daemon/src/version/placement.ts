/**
 * Decides which model, version and adapters a backend server should load, and the
 * fencing token of the orders sent to it.
 *
 * Inputs: the record of the backend server (as of this process's configuration).
 *
 * The placement is the model, version and adapters of that record, and the
 * record's offset is the fencing token. Operators place models by publishing
 * records; there is no automatic placement.
 *
 * As a pure function of the configuration, the placement is the same in every
 * process at the same offset, so sides need no coordinator, and an order from an
 * older configuration has a lower fencing token.
 *
 * Log event: `order`, by the side that sends it.
 */
import type { Configuration } from './configuration.js'
import { BackendOrder, ObjectKind } from './objects.js'

/** What a backend server should load, and the fencing token of orders derived from it. */
export interface Placement {
  /** Fencing token: the offset of the backend server's record. */
  fence: number
  order: BackendOrder
  model?: string
  version?: string
  adapters: string[]
  /** Whether the backend server itself rejects orders with an outdated fencing token. */
  checksOrders: boolean
}

/** Resolves the placement of a backend server; undefined if it is not configured. */
export function resolvePlacement(configuration: Configuration, backendName: string): Placement | undefined {
  const backend = configuration.get(ObjectKind.Backend, backendName)
  if (!backend)
    return undefined
  const { order, model, version, adapters, checksOrders } = backend.value
  return { fence: backend.offset, order, model, version, adapters, checksOrders }
}

/** Whether a backend server is ordered to accept work. */
export function isOrderedIn(configuration: Configuration, backendName: string): boolean {
  return configuration.get(ObjectKind.Backend, backendName)?.value.order === BackendOrder.In
}
