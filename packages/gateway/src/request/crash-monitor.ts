/**
 * Interface between request handling and the tracking of requests that crash
 * backend servers; implemented by the process.
 */
import type { Backend } from '../connection/backends/backend.js'

/**
 * Correlates failed calls with crashes of backend servers. The fingerprints of a
 * request are that of the whole and those of the shared parts of its prompt, in
 * this order.
 */
export interface CrashMonitor {
  /** Records that a call to a backend server broke, or may have; resolves when it is known whether the backend server exited. */
  noteBroken: (backend: Backend, fingerprints: readonly string[]) => Promise<void>
  /** Records that a backend server of the request's service sent a complete response. */
  noteAnswered: (fingerprints: readonly string[]) => void
  /** Crashes of backend servers that are evidence against a fingerprint. */
  crashCount: (fingerprint: string) => number
  /** Why requests with these fingerprints are not sent to any backend server; undefined if they are. */
  refusal: (fingerprints: readonly string[]) => string | undefined
}
