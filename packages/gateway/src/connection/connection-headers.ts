/**
 * Headers that concern one connection only and are never passed on, in either
 * direction (RFC 9110, section 7.6.1).
 */

/** Names in lower case. */
const CONNECTION_HEADERS = [
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

/** Names, in lower case, that are not passed on; those that `Connection` lists are among them. Takes names and values in turn. */
export function connectionHeaders(rawHeaders: readonly string[]): Set<string> {
  const names = new Set(CONNECTION_HEADERS)
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index].toLowerCase() === 'connection')
      rawHeaders[index + 1].split(',').forEach(name => names.add(name.trim().toLowerCase()))
  }
  return names
}
