/**
 * Checks whether the process of a backend server is still running after a call
 * to it broke: a broken call alone does not show whether the process ended or
 * only its connection. Stateless.
 */
import type { Backend } from './backend.js'
import { connect } from 'node:net'
import { isConnectionRefused } from '../error-codes.js'

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

/** Checks whether the process of a backend server is running. Never rejects. */
export type CheckPresence = (backend: Backend) => Promise<Presence>

/** Checks by opening a TCP connection, which is closed immediately. */
export function checkByConnection({ address }: Backend): Promise<Presence> {
  const [host, port] = address.split(':')
  const socket = connect({ host, port: Number(port), timeout: CONNECT_TIMEOUT_MS })
  return new Promise((resolve) => {
    const end = (presence: Presence): void => {
      socket.destroy()
      resolve(presence)
    }
    socket.on('connect', () => end(Presence.Present))
    socket.on('timeout', () => end(Presence.Unknown))
    socket.on('error', error => end(isConnectionRefused(error) ? Presence.Gone : Presence.Unknown))
  })
}
