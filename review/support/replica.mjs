/**
 * Base of the stand-ins for replicas: serves one request at a time on each
 * connection. A faulty replica sends a whole answer once more, late, in the place
 * where the next answer on the connection is due.
 */
import { Buffer } from 'node:buffer'
import { createServer } from 'node:http'

/** The sheet's `garble` (extra late): share of the replicas that are faulty, and part of their answers that they repeat. */
export const FAULTY_SHARE = 0.6
export const REPEATED_PART = 0.03

/** A replica; subclasses implement `serve`, which resolves with the text of the whole answer, or with undefined if it was not sent whole. */
export class Replica {
  /** Answers to requests while it is faulty, those that are to be repeated, and those that were. */
  answers = 0
  repeated = 0
  surplus = 0
  /** Whether it repeats answers now. */
  isFaulty = () => false
  /** Whole answers that are to be sent again, by connection. */
  #repeats = new WeakMap()
  /** The last request that was read, by connection. */
  #turns = new WeakMap()

  constructor(id, service, zone, record) {
    Object.assign(this, { id, service, zone, record })
    this.server = createServer((request, response) => {
      const chunks = []
      request.on('error', () => {})
      request.on('data', chunk => chunks.push(chunk))
      request.on('end', () => this.#queue(request, Buffer.concat(chunks).toString(), response))
    })
  }

  async start() {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.server.address().port}`
  }

  stop() {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Its entry in the store. */
  entry(capacity) {
    return { Service: this.service, Address: this.address, Zone: this.zone, Version: 'v1', Capacity: capacity, State: 'ready', ColdRemainingMs: 0, Sequence: 1 }
  }

  #queue(request, body, response) {
    const { socket } = request
    const before = this.#turns.get(socket)
    const id = request.headers['attempt-id']
    if (before === undefined)
      socket.setMaxListeners(0)
    else if (before.isOpen)
      this.record(`${this.id} gets ${id ?? request.url} behind a request that it has not answered`)
    const turn = { isOpen: true }
    turn.end = Promise.resolve(before?.end).then(() => this.#answer(request, body, response)).then(() => turn.isOpen = false)
    this.#turns.set(socket, turn)
  }

  async #answer(request, body, response) {
    const { socket } = request
    if (socket.destroyed)
      return
    if (request.headers['attempt-id'] !== undefined)
      this.#sendSurplus(socket, request.headers['attempt-id'])
    const whole = await this.serve(request, body, response)
    if (whole === undefined || !this.isFaulty())
      return
    this.answers++
    if (this.isRepeated(whole)) {
      this.repeated++
      this.#repeats.set(socket, whole)
    }
  }

  /** Whether this answer is one of the part that is repeated; here, at random. */
  isRepeated() {
    return Math.random() < REPEATED_PART
  }

  #sendSurplus(socket, id) {
    const answer = this.#repeats.get(socket)
    this.#repeats.delete(socket)
    if (answer === undefined)
      return
    this.surplus++
    this.record(`${this.id} sends an earlier answer again (${answer.split('\r\n', 2).join(', ')}), where that to ${id} is due`)
    socket.write(answer)
  }
}

/** The text of an answer with a length. */
export function answerText(status, headers, body) {
  const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  return `HTTP/1.1 ${status}\r\n${head}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}

/** One event of a stream. */
export function eventText(event, events) {
  return `id: ${event}\ndata: ${event} of ${events}\n\n`
}
