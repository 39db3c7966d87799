/**
 * Placement: which model, version and adapters a backend server holds. A pure
 * function of the configuration, so that every process computes the same.
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
