/**
 * Decides which backend servers may continue a stream that has begun.
 *
 * Inputs: the software version of the process that wrote the first event of the
 * stream, that of a candidate (both from the list of backend servers, as of the
 * start of each attempt), and whether any entry of the service has named a
 * version since this process started.
 * Rule: before the first event has been passed on, every candidate; afterwards
 * only those of the same version. A version that is not named equals none, but a
 * service in which no entry names one is not restricted.
 * Why: what two versions write does not fit together, and backend servers do not
 * check it. A stream that ends early can be begun again, one that holds both
 * looks like a good one.
 * Log event: `route` (`version`, `lastEventId`).
 */
import type { Backend } from '../../connection/backends/backend.js'

/** Where a stream began. */
export interface StreamOrigin {
  /** Software version of the backend server that wrote its first event; undefined if it named none. */
  version: string | undefined
}

/** Whether a stream may go on at a backend server; `origin` is undefined before its first event. */
export function mayContinueAt(origin: StreamOrigin | undefined, backend: Backend, namesVersions: (service: string) => boolean): boolean {
  if (origin === undefined)
    return true
  if (origin.version === undefined)
    return !namesVersions(backend.service)
  return backend.softwareVersion === origin.version
}
