/**
 * Checks whether a process still runs after a connection to it ended: that alone
 * does not show whether the process ended or only its connection. Stateless.
 */
import { connect } from 'node:net'

/** Timeout for establishing a connection. Long enough for a busy VM; delays the decisions that depend on the result. */
const CONNECT_TIMEOUT_MS = 800

/** Result of a presence check. */
export enum Presence {
  /** The process accepts connections. */
  Present = 'present',
  /** Connections to its address are refused. */
  Gone = 'gone',
  /** The VM did not respond: the process may have ended, or the network path may be broken. */
  Unknown = 'unknown',
}

/** Opens a TCP connection to `host:port`, which is closed immediately. Unknown once the signal aborts; never rejects. */
export function checkPresence(address: string, signal?: AbortSignal): Promise<Presence> {
  const [host, port] = address.split(':')
  const socket = connect({ host, port: Number(port), timeout: CONNECT_TIMEOUT_MS, signal })
  return new Promise((resolve) => {
    const end = (presence: Presence): void => {
      socket.destroy()
      resolve(presence)
    }
    socket.on('connect', () => end(Presence.Present))
    socket.on('timeout', () => end(Presence.Unknown))
    socket.on('error', (error: NodeJS.ErrnoException) => end(error.code === 'ECONNREFUSED' ? Presence.Gone : Presence.Unknown))
  })
}
