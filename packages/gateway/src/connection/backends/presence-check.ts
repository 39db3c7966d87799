/**
 * Checks whether the process of a backend server is running after a call to it
 * broke. Stateless.
 */
import type { Presence } from '@eidermast/common'
import type { Backend } from './backend.js'
import { checkPresence } from '@eidermast/common'

/** Checks whether the process of a backend server is running. Never rejects. */
export type CheckPresence = (backend: Backend) => Promise<Presence>

/** Checks by opening a TCP connection, which is closed immediately. */
export const checkByConnection: CheckPresence = ({ address }) => checkPresence(address)
