/**
 * Decides what a backend server should hold, and with which fence an order for
 * it is sent.
 *
 * Inputs: the backend server's record in the configuration, as old as this
 * process's configuration.
 * Rule: it holds the model, version and adapters of its own record, and the
 * record's offset is the fence. Operators place models by publishing records;
 * nothing here moves them.
 * Why a pure function of the configuration: every process computes the same at
 * the same offset, so a side needs no coordinator, and an order from an older
 * configuration has a lower fence.
 * Log event: `order`, by the side that carries it out.
 */
import type { Configuration } from './configuration.js'
import { BackendOrder, ObjectKind } from './objects.js'

/** What a backend server should hold, and the fence of orders made from it. */
export interface Placement {
  /** Fencing token: the offset of the backend server's record. */
  fence: number
  order: BackendOrder
  model?: string
  version?: string
  adapters: string[]
  /** Whether the backend server itself refuses orders with an old fence. */
  checksOrders: boolean
}

/** Resolves the placement of a backend server; undefined where it is not configured. */
export function resolvePlacement(configuration: Configuration, backendName: string): Placement | undefined {
  const backend = configuration.get(ObjectKind.Backend, backendName)
  if (!backend)
    return undefined
  const { order, model, version, adapters, checksOrders } = backend.value
  return { fence: backend.offset, order, model, version, adapters, checksOrders }
}

/** Whether a backend server is ordered to take work. */
export function isOrderedIn(configuration: Configuration, backendName: string): boolean {
  return configuration.get(ObjectKind.Backend, backendName)?.value.order === BackendOrder.In
}
