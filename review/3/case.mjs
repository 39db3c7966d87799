/**
 * Streams that may be resumed pass through four gateways to five model replicas.
 * For some seconds at a time, some of the replicas are faulty: they send a whole
 * answer once more, late, in the place where the next answer is due.
 *
 * Broken if a request goes on at another replica while, 400 ms later, the replica
 * that had it before is still working on it.
 */
import { fileURLToPath } from 'node:url'
import { send } from '../support/clients.mjs'
import { Gateway, startGateways } from '../support/gateways.mjs'
import { answerText, eventText, FAULTY_SHARE, Replica } from '../support/replica.mjs'
import { BROKEN, COULD_NOT_RUN, HELD, runScript, wait, withTrouble } from '../support/script.mjs'
import { Store } from '../support/store.mjs'

const ZONES = ['hall-a', 'hall-b', 'hall-c', 'hall-d']
const HOST = 'planner.example'
const ROUTE_PREFIX = '/digest/'

/** Streams of the sheet's `digest-draft`: the first event is within its aim of 1,700 ms, pauses are below 400 ms. */
const EVENTS = 64
const FIRST_EVENT_MS = 1200
const EVENT_INTERVAL_MS = 15
const DEADLINE_MS = 15_000
const STREAMS_PER_SECOND = 16
const ENGINES = 5

/** Times of the fault and of the pauses after it. */
const FAULT_MS = 5000
const PAUSE_MS = 4000
const FAULTS = 8

/** What the rule allows. */
const ALLOWED_OVERLAP_MS = 400

const WARM_UP_MS = 6000
const LIMIT_MS = 115_000
const TOPIC_OPERATOR = 'keyed.op'
const TOPIC_SERVERS = 'keyed.servers'

/** Whether the faulty replicas repeat answers now. */
let isFaultOn = false

/** A model replica: reads the prompt, then sends the events; drops a request whose connection closes. */
class Engine extends Replica {
  constructor(number, runs, record) {
    super(`i-engine-${number}`, 'lm-pool', ZONES[number % ZONES.length], record)
    this.runs = runs
    if (number < ENGINES * FAULTY_SHARE)
      this.isFaulty = () => isFaultOn
  }

  async serve(request, _, response) {
    if (request.url.startsWith('/-/'))
      return void response.end('{}')
    const id = request.headers['attempt-id']
    const run = { id, engine: this.id, from: performance.now(), to: Number.POSITIVE_INFINITY }
    this.runs.push(run)
    this.record(`${this.id} begins ${id}`)
    const isWhole = await this.#stream(id, Number(request.headers['last-event-id'] ?? 0), request.socket, response)
    run.to = performance.now()
    this.record(`${this.id} ${isWhole ? 'has sent all of' : 'drops'} ${id}${isWhole ? '' : ': its connection was closed'}`)
    return isWhole ? wholeAnswer(id) : undefined
  }

  /** Sends the events after `from`; false if the connection was closed. */
  async #stream(id, from, socket, response) {
    await Promise.race([wait(FIRST_EVENT_MS), new Promise(resolve => socket.once('close', resolve))])
    if (socket.destroyed)
      return false
    response.writeHead(200, headOf(id))
    for (let event = from + 1; event <= EVENTS; event++) {
      response.write(eventText(event, EVENTS))
      await wait(EVENT_INTERVAL_MS)
      if (socket.destroyed)
        return false
    }
    response.end()
    return true
  }
}

function headOf(id) {
  return { 'Attempt-Id': id, 'Server-Signature': `signature-of-${id}`, 'Content-Type': 'text/event-stream' }
}

function wholeAnswer(id) {
  return answerText('200 OK', headOf(id), Array.from({ length: EVENTS }, (_, index) => eventText(index + 1, EVENTS)).join(''))
}

function configuration() {
  return {
    Version: 7,
    Routes: [{
      Name: 'digest',
      Host: HOST,
      PathPrefix: ROUTE_PREFIX,
      Type: 'streaming',
      TimeoutMs: DEADLINE_MS,
      TargetLatencyMs: 1700,
      TargetGapMs: 400,
      Priority: 1,
      Service: 'lm-pool',
      MaxAttempts: 2,
      StreamResume: true,
      SessionAffinity: true,
      Public: false,
    }],
    Services: [{ Name: 'lm-pool', HealthCheckPath: '/healthz', MaxConnections: 280, Engine: { Capacity: 64, KvCapacityTokens: 509_358 } }],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
    Tenants: [{ Name: 'depot', ApiKeys: ['key-of-depot'] }],
  }
}

/** The runs of a request that overlap too long with a later one at another replica. */
function findOverlaps(runs) {
  return runs.flatMap(later => runs.filter(earlier => earlier.id === later.id && earlier.engine !== later.engine
    && earlier.from < later.from && earlier.to > later.from + ALLOWED_OVERLAP_MS).map(earlier => ({ earlier, later })))
}

const store = new Store()
const runs = []
let engines = []
let gateways = []

async function stream(number, record) {
  const gateway = gateways[number % gateways.length]
  const id = `digest-${String(number).padStart(5, '0')}`
  const headers = { 'Attempt-Id': id, 'Api-Key': 'key-of-depot', 'Model': 'm', 'Token-Usage': '11992,384', 'Prompt-Prefix': `5c1e07a2:5382,${number.toString(16)}:6610` }
  record(`client sends ${id} to ${gateway.name}`)
  const seen = await send({ port: gateway.port, path: `${ROUTE_PREFIX}${number}`, host: HOST, headers, body: 'prompt', deadlineMs: DEADLINE_MS })
  const events = seen.body.match(/^id: \d+$/gm)?.length ?? 0
  record(`client got ${id} from ${gateway.name}: status ${seen.status ?? 'none'}, ${events} events, ${seen.complete ? 'complete' : seen.error}`)
}

async function play({ record, directory }) {
  await store.start()
  engines = Array.from({ length: ENGINES }, (_, number) => new Engine(number, runs, record))
  for (const engine of engines) {
    await engine.start()
    store.put(TOPIC_SERVERS, engine.id, engine.entry(64))
  }
  store.put(TOPIC_OPERATOR, 'config', configuration())
  gateways = ZONES.map(zone => new Gateway(`edge-${zone}-1`, zone, store.address, directory, record))
  if (!await startGateways(gateways))
    return { code: COULD_NOT_RUN, text: 'the gateways did not become ready' }

  const streams = []
  const sending = setInterval(() => streams.push(stream(streams.length, record)), 1000 / STREAMS_PER_SECOND)
  await wait(WARM_UP_MS)
  for (let fault = 0; fault < FAULTS; fault++) {
    isFaultOn = withTrouble
    await wait(FAULT_MS)
    isFaultOn = false
    await wait(PAUSE_MS)
  }
  clearInterval(sending)
  await Promise.all(streams)
  const overlaps = findOverlaps(runs)
  for (const { earlier, later } of overlaps)
    record(`BROKEN: ${later.id} went on at ${later.engine}; ${earlier.engine} was at work on it for ${Math.round(earlier.to - later.from)} ms more`)
  const surplus = engines.reduce((sum, engine) => sum + engine.surplus, 0)
  const text = `${streams.length} streams, ${surplus} surplus answers, ${overlaps.length} requests at work at two replicas for more than ${ALLOWED_OVERLAP_MS} ms`
  return { code: overlaps.length > 0 ? BROKEN : HELD, text }
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
