/**
 * Streams pass through four gateways that are stopped and started in turn. Around
 * each stop, some answers of some model replicas have no length: they end with their
 * connection.
 *
 * Broken if a client sees a stream end as complete, by the rules of HTTP/1.1,
 * although its last event is missing.
 */
import { createServer } from 'node:http'
import { fileURLToPath } from 'node:url'
import { send } from '../support/clients.mjs'
import { Gateway, startGateways } from '../support/gateways.mjs'
import { BROKEN, COULD_NOT_RUN, HELD, runScript, wait, withTrouble } from '../support/script.mjs'
import { Store } from '../support/store.mjs'

const ZONES = ['hall-a', 'hall-b', 'hall-c', 'hall-d']
const HOST = 'planner.example'
const ROUTE_PREFIX = '/ask/'

/** A stream: the events of the sheet's `digest-draft`, within its deadline and its pauses. */
const EVENTS = 64
const EVENT_INTERVAL_MS = 200
const DEADLINE_MS = 15_000
const STREAMS_PER_SECOND = 30

/** Engines, and the sheet's `garble` (unframed): share of the engines, part of their answers, and its time. */
const ENGINES = 8
const UNFRAMED_SHARE = 0.5
const UNFRAMED_EVERY = 20
const UNFRAMED_MS = 5000
/** The fault begins so long before a stop: streams that begin then are under way when the grace period is over. */
const UNFRAMED_BEFORE_STOP_MS = 3000

/** Time until the first stop: streams of all ages are under way. */
const WARM_UP_MS = 12_000
/** From a stop to the next one: the grace period, the start, and a pause of the sheet's `roll_term`. */
const STOP_INTERVAL_MS = 14_000
/** Time after the last stop in which streams still begin. */
const REST_MS = 1000
const LIMIT_MS = 115_000

const TOPIC_OPERATOR = 'keyed.op'
const TOPIC_SERVERS = 'keyed.servers'

/** Whether some answers have no length now. */
let isFaultOn = false

/** A model replica: sends the events of a stream one after the other, and drops a request whose connection closes. */
class Engine {
  answers = 0

  constructor(number, record) {
    this.id = `i-engine-${number}`
    this.zone = ZONES[number % ZONES.length]
    this.isUnframedAtTimes = number < ENGINES * UNFRAMED_SHARE
    this.server = createServer((request, response) => {
      request.resume()
      request.on('end', () => request.url.startsWith('/-/') ? response.end('{}') : void this.#answer(request, response, record))
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

  async #answer(request, response, record) {
    const id = request.headers['attempt-id']
    const { socket } = response
    const isUnframed = this.isUnframedAtTimes && isFaultOn && ++this.answers % UNFRAMED_EVERY === 0
    record(`${this.id} runs ${id}${isUnframed ? ', and answers without a length' : ''}`)
    const head = { 'Attempt-Id': id, 'Server-Signature': `signature-of-${id}`, 'Content-Type': 'text/event-stream' }
    if (isUnframed)
      socket.write(`HTTP/1.1 200 OK\r\n${Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`).join('')}Connection: close\r\n\r\n`)
    else
      response.writeHead(200, head)
    for (let event = 1; event <= EVENTS; event++) {
      if (socket.destroyed)
        return record(`${this.id} drops ${id} before event ${event}: its connection was closed`)
      const text = `id: ${event}\ndata: ${event} of ${EVENTS}\n\n`
      if (isUnframed)
        socket.write(text)
      else
        response.write(text)
      await wait(EVENT_INTERVAL_MS)
    }
    if (isUnframed)
      socket.end()
    else
      response.end()
    record(`${this.id} has sent all of ${id}`)
  }
}

function configuration() {
  return {
    Version: 7,
    Routes: [{
      Name: 'ask',
      Host: HOST,
      PathPrefix: ROUTE_PREFIX,
      Type: 'streaming',
      TimeoutMs: DEADLINE_MS,
      TargetLatencyMs: 1700,
      TargetGapMs: 400,
      Priority: 0,
      Service: 'lm-pool',
      MaxAttempts: 1,
      StreamResume: false,
      SessionAffinity: true,
      Public: false,
    }],
    Services: [{ Name: 'lm-pool', HealthCheckPath: '/healthz', MaxConnections: 280, Engine: { Capacity: 64, KvCapacityTokens: 509_358 } }],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
    Tenants: [{ Name: 'depot', ApiKeys: ['key-of-depot'] }],
  }
}

const store = new Store()
let engines = []
let gateways = []

/** Sends one stream through a ready gateway; returns what is wrong with the answer, if anything. */
async function stream(number, record) {
  const ready = gateways.filter(gateway => gateway.ready)
  const gateway = ready[number % ready.length]
  if (!gateway)
    return undefined
  const id = `stream-${String(number).padStart(5, '0')}`
  const headers = { 'Attempt-Id': id, 'Api-Key': 'key-of-depot', 'Model': 'm', 'Token-Usage': '826,300', 'Prompt-Prefix': `5c1e07a2:198,${number.toString(16)}:628` }
  record(`client sends ${id} to ${gateway.name}`)
  const seen = await send({ port: gateway.port, path: `${ROUTE_PREFIX}${number}`, host: HOST, headers, body: 'question', deadlineMs: DEADLINE_MS })
  const events = seen.body.match(/^id: \d+$/gm)?.length ?? 0
  const isShort = seen.status === 200 && seen.complete && events < EVENTS
  const framing = seen.status === 200 && seen.headers['transfer-encoding'] === undefined ? ' without a length' : ''
  record(`client got ${id} from ${gateway.name}: status ${seen.status ?? 'none'}${framing}, ${events} of ${EVENTS} events, ${seen.complete ? 'ended as complete' : `not complete: ${seen.error}`}${isShort ? ' -- BROKEN' : ''}`)
  return isShort
}

async function play({ record, directory }) {
  await store.start()
  engines = Array.from({ length: ENGINES }, (_, number) => new Engine(number, record))
  for (const engine of engines) {
    await engine.start()
    store.put(TOPIC_SERVERS, engine.id, { Service: 'lm-pool', Address: engine.address, Zone: engine.zone, Version: 'v1', Capacity: 64, State: 'ready', ColdRemainingMs: 0, Sequence: 1 })
  }
  store.put(TOPIC_OPERATOR, 'config', configuration())
  gateways = ZONES.map(zone => new Gateway(`edge-${zone}-1`, zone, store.address, directory, record))
  if (!await startGateways(gateways))
    return { code: COULD_NOT_RUN, text: 'the gateways did not become ready' }

  const streams = []
  const sending = setInterval(() => streams.push(stream(streams.length, record)), 1000 / STREAMS_PER_SECOND)
  await wait(WARM_UP_MS)
  for (const gateway of gateways) {
    isFaultOn = true
    setTimeout(() => isFaultOn = false, UNFRAMED_MS)
    await wait(UNFRAMED_BEFORE_STOP_MS)
    if (withTrouble)
      gateway.signal('SIGTERM')
    await wait(STOP_INTERVAL_MS - UNFRAMED_BEFORE_STOP_MS)
  }
  await wait(REST_MS)
  clearInterval(sending)
  const results = await Promise.all(streams)
  const broken = results.filter(Boolean).length
  const text = `${results.length} streams, ${broken} ended as complete without their last event`
  return { code: broken > 0 ? BROKEN : HELD, text }
}

await runScript({
  recordFile: fileURLToPath(new URL('record.txt', import.meta.url)),
  limitMs: LIMIT_MS,
  play,
  stop: () => {
    gateways.forEach(gateway => gateway.stop())
    engines.forEach(engine => engine.stop())
    store.stop()
  },
})
