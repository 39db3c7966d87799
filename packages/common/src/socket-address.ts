/**
 * Addresses of processes on the network.
 */
import { MAX_PORT } from './settings-file.js'

/** Whether a text is `IP:PORT` with a valid port. */
export function isSocketAddress(text: string): boolean {
  const [, port] = /^[\d.]+:(\d{1,5})$/.exec(text) ?? []
  return port !== undefined && Number(port) > 0 && Number(port) <= MAX_PORT
}
