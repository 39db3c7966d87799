/**
 * Client of a gateway: sends one request on a new connection and tells what it
 * saw, by the rules of HTTP/1.1 alone.
 */
import { Buffer } from 'node:buffer'
import { Agent, request } from 'node:http'

/** A new connection is given one second to come up. */
const CONNECT_TIMEOUT_MS = 1000

/**
 * Resolves with the status, the headers, the body as text and whether the answer
 * ended as complete; `error` says why it did not.
 */
export function send({ port, method = 'POST', path, host, headers, body, deadlineMs }) {
  return new Promise((resolve) => {
    const seen = { status: undefined, headers: {}, body: '', complete: false, error: undefined }
    const agent = new Agent({ keepAlive: false })
    const outgoing = request({ agent, host: '127.0.0.1', port, method, path, headers: { ...headers, 'Host': host, 'Deadline-Ms': String(deadlineMs) } })
    const timers = []
    const end = (error) => {
      timers.forEach(clearTimeout)
      seen.error ??= error
      outgoing.destroy()
      agent.destroy()
      resolve(seen)
    }
    const connecting = setTimeout(() => end('no connection'), CONNECT_TIMEOUT_MS)
    timers.push(connecting, setTimeout(() => end('the deadline passed'), deadlineMs))
    outgoing.on('socket', socket => socket.once('connect', () => clearTimeout(connecting)))
    outgoing.on('error', error => end(error.message))
    outgoing.on('response', (response) => {
      seen.status = response.statusCode
      seen.headers = response.headers
      response.on('data', chunk => seen.body += chunk)
      response.on('error', error => end(error.message))
      response.on('end', () => {
        seen.complete = response.complete
        end(response.complete ? undefined : 'the answer was cut off')
      })
    })
    outgoing.end(body === undefined ? undefined : Buffer.from(body))
  })
}
