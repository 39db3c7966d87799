/**
 * Identifies one incarnation of a process. A restarted process gets a new
 * identifier, so that peers can distinguish it from the previous incarnation.
 */
import { v7 as uuidv7 } from 'uuid'

export function createIncarnation(): string {
  return uuidv7()
}
