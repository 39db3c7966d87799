/**
 * Asks whether the process of a backend server is there, after a call to it
 * broke: a broken call alone does not tell the end of the process from that of
 * its connection. It keeps no state.
 */
import type { Backend } from './backend.js'
import { connect } from 'node:net'
import { isConnectionRefused } from '../error-codes.js'

/** Milliseconds until a connection is up. Half fails while a VM is busy, twice delays what follows from the answer. */
const CONNECT_TIMEOUT_MS = 800

/** Whether a process is there. */
export enum Presence {
  /** It accepts connections. */
  Present = 'present',
  /** Nobody listens at its address. */
  Gone = 'gone',
  /** Its VM did not answer: the process or the way to it may be gone. */
  Unknown = 'unknown',
}

/** Asks whether the process of a backend server is there. Never rejects. */
export type CheckPresence = (backend: Backend) => Promise<Presence>

/** Asks by a connection that is closed at once. */
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
