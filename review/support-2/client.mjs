/**
 * A client's connection, with HTTP/1.1 as the pages describe it: requests are
 * answered in order; the connection is kept, unless an answer says `close`, and
 * not used after it has rested for four fifths of the idle time-out.
 */
import { Buffer } from 'node:buffer'
import { connect } from 'node:net'
import { wait } from './deployment.mjs'

const HOST = '127.0.0.1'
const HEAD_END = '\r\n\r\n'
/** Four fifths of `IdleTimeoutMs`. */
const MAX_REST_MS = 4000

/** A connection to a gateway; each request becomes an object that tells how it ended. */
export class Connection {
  isOpen = true
  /** Sent and not answered, in order. */
  unanswered = []
  received = Buffer.alloc(0)
  usedAt = performance.now()

  /** The network delivers what is sent at once in segments, if a size is given. */
  constructor(port, { segmentBytes = Number.POSITIVE_INFINITY, segmentIntervalMs = 0 } = {}) {
    Object.assign(this, { segmentBytes, segmentIntervalMs })
    this.socket = connect(port, HOST)
    this.socket.setNoDelay(true)
    this.socket.on('data', chunk => this.receive(chunk))
    this.socket.on('error', () => {})
    this.socket.on('close', () => this.close())
  }

  /** Whether a request may be sent that waits for no other. */
  get isIdle() {
    return this.isOpen && this.unanswered.length === 0 && performance.now() - this.usedAt < MAX_REST_MS
  }

  /** Sends requests at once; resolves when each is answered or the connection has ended. */
  send(...requests) {
    const ended = requests.map(request => new Promise((resolve) => {
      this.unanswered.push(Object.assign(request, { sentAt: performance.now(), end: resolve }))
    }))
    this.usedAt = performance.now()
    void this.write(requests.map(formatRequest).join(''))
    return Promise.all(ended)
  }

  async write(text) {
    for (let start = 0; start < text.length && this.isOpen; start += this.segmentBytes) {
      if (start > 0)
        await wait(this.segmentIntervalMs)
      this.socket.write(text.slice(start, start + this.segmentBytes))
    }
  }

  destroy() {
    this.socket.destroy()
  }

  receive(chunk) {
    this.received = Buffer.concat([this.received, chunk])
    while (this.readAnswer()) { /* Several may have arrived. */ }
  }

  /** Reads the next answer, if it has arrived whole; a stream counts its events. */
  readAnswer() {
    const headEnd = this.received.indexOf(HEAD_END)
    const [request] = this.unanswered
    if (headEnd < 0 || !request)
      return false
    const head = this.received.subarray(0, headEnd).toString('latin1')
    request.status = Number(head.slice(9, 12))
    const bodyStart = headEnd + HEAD_END.length
    const length = /^content-length: *(\d+)/im.exec(head)
    const bodyEnd = length ? bodyStart + Number(length[1]) : this.findLastChunk(bodyStart)
    if (bodyEnd === undefined || this.received.length < bodyEnd)
      return false
    this.received = this.received.subarray(bodyEnd)
    this.unanswered.shift()
    this.usedAt = performance.now()
    request.outcome = 'answered'
    request.endedAt = this.usedAt
    if (/^connection: *close/im.test(head))
      this.isOpen = false
    request.end()
    return true
  }

  findLastChunk(bodyStart) {
    const end = this.received.indexOf('\r\n0\r\n\r\n', bodyStart - 2)
    return end < 0 ? undefined : end + 7
  }

  close() {
    this.isOpen = false
    for (const request of this.unanswered.splice(0))
      request.end(Object.assign(request, { outcome: 'closed', endedAt: performance.now() }))
  }
}

function formatRequest({ method, path, id, headers = {} }) {
  const lines = Object.entries({ 'Host': 'pages.example', 'Attempt-Id': id, ...headers }).map(([name, value]) => `${name}: ${value}\r\n`)
  const body = method === 'POST' ? '{}' : ''
  return `${method} ${path} HTTP/1.1\r\n${lines.join('')}${method === 'POST' ? `Content-Length: ${body.length}\r\n` : ''}\r\n${body}`
}
