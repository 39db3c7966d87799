/**
 * Interface between request handling and the tracking of requests that crash
 * backend servers; implemented by the process.
 */
import type { Backend } from '../connection/backends/backend.js'

/** Correlates failed calls with crashes of backend servers. */
export interface CrashMonitor {
  /** Records that a call to a backend server broke, or may have; resolves when it is known whether the backend server exited. */
  noteBroken: (backend: Backend, fingerprint: string) => Promise<void>
  /** Records that a backend server of the request's service sent a complete response. */
  noteAnswered: (fingerprint: string) => void
  /** Crashes of backend servers attributed to requests with this fingerprint. */
  crashCount: (fingerprint: string) => number
  /** Why requests with this fingerprint are not sent to any backend server; undefined if they are. */
  refusal: (fingerprint: string) => string | undefined
}
