/**
 * Stand-in for the platform's store: keyed topics over HTTP (PROTOCOL.md, section
 * on the platform's metadata store). Sound: it answers every call at once, and
 * holds reads until there is a record or their wait is over.
 */
import { Buffer } from 'node:buffer'
import { createServer } from 'node:http'

/** Start of the answer to a read: the end and the first offset that is kept. */
const READ_HEADER_BYTES = 16
const MAX_WAIT_MS = 30_000
const MAX_ITEMS = 500

/** Keyed topics in memory. */
export class Store {
  #topics = new Map()
  #server = createServer((request, response) => this.#receive(request, response))

  async start() {
    await new Promise(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.#server.address().port}`
  }

  stop() {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Writes a record as the operator and the replicas do; undefined drops the key. */
  put(topic, key, value) {
    const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value))
    this.#append(topic, { key, value: bytes })
  }

  #topic(name) {
    if (!this.#topics.has(name))
      this.#topics.set(name, { records: [], waiting: new Set() })
    return this.#topics.get(name)
  }

  #append(name, record) {
    const topic = this.#topic(name)
    topic.records.push(record)
    for (const wake of [...topic.waiting])
      wake()
  }

  #receive(request, response) {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => this.#answer(new URL(request.url, 'http://store'), Buffer.concat(chunks), response))
  }

  #answer(url, body, response) {
    response.setHeader('Store-Era', '1')
    const name = url.searchParams.get('topic') ?? ''
    if (url.pathname === '/-/log-append')
      return this.#answerAppend(name, body, response)
    if (url.pathname === '/-/log-newest')
      return this.#answerNewest(name, url.searchParams.get('WatchRevision') ?? '', response)
    if (url.pathname === '/-/log-read')
      return this.#answerRead(name, url.searchParams, response)
    response.writeHead(404).end()
  }

  #answerAppend(name, body, response) {
    const { records } = this.#topic(name)
    const offset = records.length
    for (let start = 0; start + 4 < body.length;) {
      const length = body.readUInt32BE(start)
      const record = body.subarray(start + 4, start + 4 + length)
      const keyLength = record[0]
      this.#append(name, { key: record.subarray(1, 1 + keyLength).toString(), value: record.subarray(1 + keyLength) })
      start += 4 + length
    }
    response.end(JSON.stringify({ offset, end: records.length }))
  }

  #answerNewest(name, after, response) {
    const { records } = this.#topic(name)
    const offsets = new Map(records.map(({ key }, offset) => [key, offset]))
    const kept = [...offsets].filter(([key, offset]) => key > after && records[offset].value.length > 0)
    kept.sort(([left], [right]) => left < right ? -1 : 1)
    const items = kept.slice(0, MAX_ITEMS).map(([key, offset]) => ({ TlsKey: key, Value: records[offset].value.toString('base64'), offset }))
    response.end(JSON.stringify({ Items: items, more: items.length < kept.length, end: records.length }))
  }

  #answerRead(name, query, response) {
    const topic = this.#topic(name)
    const from = Number(query.get('Source'))
    let timer
    const respond = () => {
      clearTimeout(timer)
      topic.waiting.delete(respond)
      const header = Buffer.alloc(READ_HEADER_BYTES)
      header.writeBigUInt64BE(BigInt(topic.records.length))
      response.end(Buffer.concat([header, ...topic.records.slice(from).map(encodeRecord)]))
    }
    const waitMs = topic.records.length > from ? 0 : Math.min(MAX_WAIT_MS, Number(query.get('WaitMs') ?? 0))
    timer = setTimeout(respond, waitMs)
    topic.waiting.add(respond)
    response.on('close', () => {
      clearTimeout(timer)
      topic.waiting.delete(respond)
    })
  }
}

function encodeRecord({ key, value }) {
  const keyBytes = Buffer.from(key)
  const head = Buffer.alloc(5)
  head.writeUInt32BE(1 + keyBytes.length + value.length)
  head[4] = keyBytes.length
  return Buffer.concat([head, keyBytes, value])
}
