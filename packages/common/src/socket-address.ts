/**
 * Addresses of processes on the network.
 */
import { isIPv4 } from 'node:net'
import { MAX_PORT } from './settings-file.js'

/** Whether a text is `IP:PORT` with a valid IPv4 address and port. */
export function isSocketAddress(text: string): boolean {
  const [, host, port] = /^([\d.]+):(\d{1,5})$/.exec(text) ?? []
  return host !== undefined && isIPv4(host) && Number(port) > 0 && Number(port) <= MAX_PORT
}
