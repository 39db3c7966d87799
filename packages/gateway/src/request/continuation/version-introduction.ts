/**
 * Decides whether a software version that was just listed for the first time gets
 * streams that clients can resume.
 *
 * Inputs: the backend servers that accept the request now; how long the version of
 * each has been listed (ms, at this process; Infinity if it was before the process
 * started).
 * Rule: a version gets none for INTRODUCTION_MS after it was first listed, unless
 * only such versions accept the request. A stream of which nobody knows where it
 * began counts as begun at another version while a version has been listed for
 * less than TRUSTED_MS at all gateways that answer.
 * Why: streams that begin while one version serves are reported to nobody. If
 * their gateway ends in the moment in which another version is listed, this tells
 * where they began. The difference of the two times is what gateways may differ
 * in learning of a version.
 * Log event: `stream-resumed` (`source` is `only-version`).
 */
import type { Backend } from '../../connection/backends/backend.js'

/** Time for which a new version gets no such streams: TRUSTED_MS, and the time that gateways may differ in learning of a version. */
const INTRODUCTION_MS = 3000
/** Age from which on a version may have streams that no gateway knows of. */
export const TRUSTED_MS = 1500

/** The backend servers that may get a stream that begins. */
export function withoutNewVersions(accepting: readonly Backend[], versionAgeMs: (backend: Backend) => number): readonly Backend[] {
  const introduced = accepting.filter(backend => versionAgeMs(backend) >= INTRODUCTION_MS)
  return introduced.length > 0 ? introduced : accepting
}
