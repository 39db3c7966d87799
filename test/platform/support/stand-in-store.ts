/**
 * Stand-in for the platform's store: keyed topics over HTTP, with injectable
 * faults.
 */
import type { Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Buffer } from 'node:buffer'
import { createServer } from 'node:http'
import { wait } from '@eidermast/common'

interface StoredRecord {
  key: string
  value: Buffer
}

/** Faults that tests can inject. */
export enum StoreFault {
  None = 'none',
  Busy = 'busy',
  Reset = 'reset',
  Truncated = 'truncated',
  /** Accepts calls and never responds to them, even after the fault has ended. */
  Hanging = 'hanging',
}

/** Maximum time for which a long-poll read without records is held. */
const MAX_HOLD_MS = 200

/** Store with keyed topics in memory. */
export class StandInStore {
  fault = StoreFault.None
  calls = 0
  /** Number of calls by topic. */
  readonly callsTo = new Map<string, number>()
  /** Incremented each time the store is restored from an older snapshot; sent with every response. */
  era = 1
  /** Maximum number of items on a page of the latest records. */
  pageSize = 500
  /** Called after each page of the latest records. */
  onPage: (topic: string) => void = () => {}
  private readonly topics = new Map<string, StoredRecord[]>()
  private readonly deletedLengths = new Map<string, number>()
  /** Number of records of each topic in the snapshot. */
  private snapshotLengths = new Map<string, number>()
  private readonly server: Server

  constructor() {
    this.server = createServer((request, response) => {
      const chunks: Buffer[] = []
      request.on('data', chunk => chunks.push(chunk))
      request.on('end', () => void this.handle(new URL(request.url!, 'http://store'), Buffer.concat(chunks), response))
    })
  }

  async start(): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', () => resolve()))
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }

  put(topic: string, key: string, value: unknown): void {
    this.records(topic).push({ key, value: encodeValue(value) })
  }

  /** Deletes the history of a topic; the latest record of each key remains. */
  deleteHistory(topic: string): void {
    this.deletedLengths.set(topic, this.records(topic).length)
  }

  /** Takes a snapshot of the current contents. */
  takeSnapshot(): void {
    this.snapshotLengths = new Map([...this.topics].map(([topic, records]) => [topic, records.length]))
  }

  /** Restores the snapshot; later offsets are then assigned again. */
  restoreSnapshot(): void {
    for (const [topic, records] of this.topics)
      records.length = this.snapshotLengths.get(topic) ?? 0
    this.era++
  }

  newestOf(topic: string): Map<string, string> {
    const newest = new Map(this.records(topic).map(record => [record.key, record.value.toString()]))
    return new Map([...newest].filter(([, value]) => value !== ''))
  }

  private async handle(url: URL, body: Buffer, response: ServerResponse): Promise<void> {
    this.calls++
    if (this.fault === StoreFault.Busy)
      return void response.writeHead(503).end()
    if (this.fault === StoreFault.Reset)
      return void response.destroy()
    if (this.fault === StoreFault.Hanging)
      return
    response.setHeader('Store-Era', this.era)
    const topic = url.searchParams.get('topic') ?? ''
    this.callsTo.set(topic, (this.callsTo.get(topic) ?? 0) + 1)
    if (url.pathname === '/-/log-append')
      return this.append(topic, body, response)
    if (url.pathname === '/-/log-newest')
      return this.newest(topic, url.searchParams.get('WatchRevision') ?? '', response)
    await this.read(topic, Number(url.searchParams.get('Source')), Math.min(MAX_HOLD_MS, Number(url.searchParams.get('WaitMs'))), response)
  }

  private append(topic: string, body: Buffer, response: ServerResponse): void {
    const keyLength = body[4]
    this.records(topic).push({ key: body.subarray(5, 5 + keyLength).toString(), value: body.subarray(5 + keyLength) })
    const end = this.records(topic).length
    response.end(JSON.stringify({ offset: end - 1, end }))
  }

  private newest(topic: string, after: string, response: ServerResponse): void {
    const records = this.records(topic)
    const keys = [...new Set(records.map(record => record.key))].filter(key => key > after).sort()
    const items = keys.flatMap((key) => {
      const offset = records.findLastIndex(record => record.key === key)
      return records[offset].value.length === 0 ? [] : [{ TlsKey: key, Value: records[offset].value.toString('base64'), offset }]
    })
    const page = items.slice(0, this.pageSize)
    response.end(JSON.stringify({ Items: page, more: page.length < items.length, end: records.length }))
    this.onPage(topic)
  }

  private async read(topic: string, offset: number, holdMs: number, response: ServerResponse): Promise<void> {
    for (let waited = 0; waited < holdMs && this.records(topic).length <= offset; waited += 10)
      await wait(10)
    if (this.fault === StoreFault.Hanging)
      return
    response.setHeader('Store-Era', this.era)
    if (offset < (this.deletedLengths.get(topic) ?? 0) || offset > this.records(topic).length)
      return void response.writeHead(410).end(JSON.stringify({ first: this.deletedLengths.get(topic) }))
    const header = Buffer.alloc(16)
    header.writeBigUInt64BE(BigInt(this.records(topic).length))
    const records = this.records(topic).slice(offset).map(encodeRecord)
    const bytes = Buffer.concat([header, ...records])
    response.end(this.fault === StoreFault.Truncated && records.length > 0 ? bytes.subarray(0, bytes.length - 2) : bytes)
  }

  private records(topic: string): StoredRecord[] {
    const existing = this.topics.get(topic)
    if (existing)
      return existing
    const created: StoredRecord[] = []
    this.topics.set(topic, created)
    return created
  }
}

/** Encodes text as is and other values as JSON; undefined as an empty value, which deletes the key. */
function encodeValue(value: unknown): Buffer {
  if (value === undefined)
    return Buffer.alloc(0)
  return Buffer.from(typeof value === 'string' ? value : JSON.stringify(value))
}

function encodeRecord(record: StoredRecord): Buffer {
  const key = Buffer.from(record.key)
  const length = Buffer.alloc(5)
  length.writeUInt32BE(1 + key.length + record.value.length)
  length[4] = key.length
  return Buffer.concat([length, key, record.value])
}
