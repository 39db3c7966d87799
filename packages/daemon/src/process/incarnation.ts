/**
 * The identity of one process life. A restarted process has another one, so
 * that its peers never mistake it for its predecessor.
 */
import { v7 as uuidv7 } from 'uuid'

/** Creates the identity of this process life. */
export function createIncarnation(): string {
  return uuidv7()
}
