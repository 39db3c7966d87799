/**
 * Hop-by-hop headers: they apply to a single connection and are never forwarded,
 * in either direction (RFC 9110, section 7.6.1).
 */

/** In lower case. */
const HOP_BY_HOP_HEADERS = [
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]

/**
 * The hop-by-hop headers of a message in lower case, including those that its
 * `Connection` header lists. `rawHeaders` alternates names and values.
 */
export function hopByHopHeaders(rawHeaders: readonly string[]): Set<string> {
  const names = new Set(HOP_BY_HOP_HEADERS)
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index].toLowerCase() === 'connection')
      rawHeaders[index + 1].split(',').forEach(name => names.add(name.trim().toLowerCase()))
  }
  return names
}
