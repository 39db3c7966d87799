/**
 * Decides how many connections each port of this process accepts, and how much
 * memory they may share beyond what each may take anyway.
 *
 * Answers this load: more connections than this process has descriptors for, and
 * clients that take far more memory on each than ordinary ones.
 * Inputs: the limits in the settings, the descriptors and the memory of the process
 * (as configured; undefined if not), the limit of its heap (bytes).
 * Rule: what is configured; otherwise clients get half of the descriptors that are
 * not kept for files, and other gateways a quarter. The rest is left to
 * connections of this process, except for a few to its readiness and its metrics.
 * Shared memory is SHARED_PART of the memory of the process. Bodies of calls of
 * other gateways have as much for themselves.
 * Why: a process without descriptors reaches no backend server and no store, so
 * that it serves nobody. Few readers ask for readiness and metrics. Clients that
 * use up the shared memory must not keep heartbeats out.
 * Log event: `connections-closed` (`maxConnections`, `maxSharedBytes`).
 */
import { heapLimitBytes } from '@eidermast/common'

/** Usual limit of a process, for settings that do not tell. */
const DEFAULT_DESCRIPTORS = 4096
/** For files and pipes. */
const FILE_DESCRIPTORS = 200
const CLIENTS_PART = 1 / 2
const PEERS_PART = 1 / 4
const OPERATIONS_PART = 1 / 16
/** More than the load balancers and collectors of metrics of a deployment. */
const MAX_OPERATIONS = 64
/** Leaves most of the memory to the heap, to bodies and to answers. */
const SHARED_PART = 1 / 16
/** Room for single heads of the largest size. */
const MIN_SHARED_BYTES = 8_000_000

/** Inputs of the limits; undefined where the settings do not tell. */
export interface ConnectionLimitInputs {
  maxClients: number | undefined
  sharedBytes: number | undefined
  maxOpenFiles: number | undefined
  memoryBytes: number | undefined
}

/** Limits by port. */
export interface PortLimits {
  clients: number
  peers: number
  /** For readiness and metrics, each. */
  operations: number
  /** Memory in bytes that the connections of all ports share. */
  sharedBytes: number
  /** Memory in bytes for bodies of calls of other gateways. */
  peerCallBytes: number
}

export function decideConnectionLimits({ maxClients, sharedBytes, maxOpenFiles = DEFAULT_DESCRIPTORS, memoryBytes = heapLimitBytes() }: ConnectionLimitInputs): PortLimits {
  const available = Math.max(1, maxOpenFiles - FILE_DESCRIPTORS)
  const partOfMemory = Math.max(MIN_SHARED_BYTES, memoryBytes * SHARED_PART)
  const partOf = (part: number): number => Math.max(1, Math.floor(available * part))
  return {
    clients: maxClients ?? partOf(CLIENTS_PART),
    peers: partOf(PEERS_PART),
    operations: Math.min(MAX_OPERATIONS, partOf(OPERATIONS_PART)),
    sharedBytes: sharedBytes ?? partOfMemory,
    peerCallBytes: partOfMemory,
  }
}
