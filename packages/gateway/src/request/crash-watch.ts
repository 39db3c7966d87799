/**
 * What the way of a request tells and asks of requests under which backend
 * servers end; implemented by the process.
 */
import type { Backend } from '../connection/backends/backend.js'

/** Follows the ends of calls, for backend servers that end while requests run there. */
export interface CrashWatch {
  /** A request was sent to a backend server and its call broke, or may have; resolves when it is known whether the backend server ended. */
  noteBroken: (backend: Backend, fingerprint: string) => Promise<void>
  /** The backend server of a request's service answered it to the end. */
  noteAnswered: (fingerprint: string) => void
  /** Ends of backend servers that count against requests with this fingerprint. */
  crashCount: (fingerprint: string) => number
  /** Why requests with this fingerprint are sent to no backend server; undefined where they are. */
  refusal: (fingerprint: string) => string | undefined
}
