/**
 * Streams that may run once only, with one stage before them, pass through four
 * gateways. Stage replicas crash, so that inputs are gone; meanwhile, some of the
 * model replicas are faulty: they send a whole answer once more, late, in the place
 * where the next answer is due.
 *
 * Broken if a request is run more than once by model replicas.
 */
import { randomBytes } from 'node:crypto'
import { fileURLToPath } from 'node:url'
import { send } from '../support/clients.mjs'
import { Gateway, startGateways } from '../support/gateways.mjs'
import { answerText, eventText, FAULTY_SHARE, REPEATED_PART, Replica } from '../support/replica.mjs'
import { BROKEN, COULD_NOT_RUN, HELD, runScript, wait, withTrouble } from '../support/script.mjs'
import { Store } from '../support/store.mjs'

const ZONES = ['hall-a', 'hall-b', 'hall-c', 'hall-d']
const HOST = 'planner.example'
const ROUTE_PREFIX = '/ask/'

/** Streams: 16,000 prompt tokens take 281 ms of an engine, the sheet's 56.9 tokens a millisecond. */
const EVENTS = 49
const PROMPT_TOKENS = 16_000
const PROMPT_MS = PROMPT_TOKENS / 56.9
const EVENT_INTERVAL_MS = 10
const DEADLINE_MS = 15_000
/** Streams come in clumps, as on the sheet. */
const CLUMP_STREAMS = 54
const CLUMP_INTERVAL_MS = 4000
const CLUMP_SPACING_MS = 5
const ENGINES = 8

/** The stage: the sheet's `legacy-intake`, 4 replicas. */
const STAGE_REPLICAS = 4
const PIECES = 6
const STAGE = { Capacity: 1, Queue: 2, Batch: 37, CallMs: 240, ItemMs: 5.56, HeadroomMb: 4.05, HandleTtlS: 4, BandwidthMbps: 10_000 }

/** Disruptions: a fault of model replicas, in which one stage replica is down. */
const FAULTS = 23
const FAULT_MS = 3500
const CRASH_AFTER_MS = 1400
const DOWN_MS = 2000
/** A replica that is silent for three heartbeats loses its entry. */
const LAPSE_MS = 3600

const WARM_UP_CLUMPS = 3
const LIMIT_MS = 118_000
const TOPIC_OPERATOR = 'keyed.op'
const TOPIC_SERVERS = 'keyed.servers'

/** Whether the faulty model replicas repeat answers now. */
let isFaultOn = false
/** Handles of the results that can be read, with the end of their time. */
const results = new Map()

/** A stage replica: one call at a time, and two that wait. */
class StageReplica extends Replica {
  #calls = 0
  #last = Promise.resolve()

  async serve(request, body, response) {
    if (request.url === '/-/report')
      return void response.end(JSON.stringify({ Waiting: Math.max(0, this.#calls - 1), Utilization: this.#calls > 0, FreeMb: STAGE.HeadroomMb }))
    if (request.headers['expected-replica'] !== undefined && request.headers['expected-replica'] !== this.id)
      return void response.writeHead(421, { 'Replica-Id': this.id }).end()
    // A request that was broken off has no body.
    if (body === '')
      return void response.writeHead(400).end()
    if (request.url === '/-/stage-free')
      return void this.#free(JSON.parse(body).PromptHandles, response)
    if (this.#calls > STAGE.Queue)
      return void response.writeHead(503, { 'Not-Executed': '1' }).end()
    await this.#run(JSON.parse(body).Items, response)
  }

  /** Its results die with it. */
  crash() {
    for (const handle of results.keys()) {
      if (handle.startsWith(`${this.address}/`))
        results.delete(handle)
    }
    this.stop()
  }

  #free(handles, response) {
    handles.forEach(handle => results.delete(handle))
    response.end('{}')
  }

  async #run(items, response) {
    this.#calls++
    const turn = this.#last.then(() => wait(STAGE.CallMs + STAGE.ItemMs * items.length))
    this.#last = turn
    await turn
    this.#calls--
    const outcomes = items.map(() => {
      const handle = `${this.address}/${randomBytes(6).toString('hex')}`
      results.set(handle, performance.now() + STAGE.HandleTtlS * 1000)
      return { PromptHandle: handle }
    })
    response.writeHead(200, { 'Content-Type': 'application/json', 'Replica-Load': `${this.#calls},0,1` })
    response.end(JSON.stringify({ Items: outcomes }))
  }
}

/** A model replica: fetches the inputs, reads one prompt at a time, then sends the events. */
class Engine extends Replica {
  #lastPrompt = Promise.resolve()
  #waiting = 0
  #running = 0

  constructor(number, runs, record) {
    super(`i-engine-${number}`, 'lm-pool', ZONES[number % ZONES.length], record)
    this.runs = runs
    if (number < ENGINES * FAULTY_SHARE)
      this.isFaulty = () => isFaultOn
  }

  async serve(request, _, response) {
    if (request.url === '/-/report')
      return void response.end(JSON.stringify({ Phase: 'unified', Waiting: this.#waiting, Running: this.#running, KvUsed: 0, KvTotal: 509_358, PromptHandles: 0 }))
    const id = request.headers['attempt-id']
    if (request.headers['expected-replica'] !== this.id)
      return void response.writeHead(421, { 'Replica-Id': this.id, 'Attempt-Id': id }).end()
    this.#waiting++
    const inputs = (request.headers['input-count'] ?? '').split(',')
    const { socket } = request
    const prompt = this.#lastPrompt.then(() => this.#readPrompt(id, inputs, socket))
    this.#lastPrompt = prompt
    const isRead = await prompt
    this.#waiting--
    if (isRead === undefined)
      return undefined
    return isRead ? this.#stream(id, socket, response) : this.#refuse(id, response)
  }

  /** False if an input is gone; undefined if the connection was closed. */
  async #readPrompt(id, inputs, socket) {
    if (socket.destroyed)
      return undefined
    if (inputs.some(handle => (results.get(handle) ?? 0) < performance.now()))
      return false
    this.runs.push({ id, engine: this.id })
    this.record(`${this.id} begins ${id}`)
    await wait(PROMPT_MS)
    return socket.destroyed ? undefined : true
  }

  /** The fault is in the path of refusals: none but these are repeated, and never more than the allowed part of all answers. */
  isRepeated(answer) {
    return answer.startsWith('HTTP/1.1 409') && this.repeated + 1 <= this.answers * REPEATED_PART
  }

  #refuse(id, response) {
    this.record(`${this.id} refuses ${id}: an input is gone`)
    const head = { 'Attempt-Id': id, 'Not-Executed': '1', 'Replica-Load': this.#load() }
    response.writeHead(409, { ...head, 'Content-Length': '0' }).end()
    return answerText('409 Conflict', head, '')
  }

  async #stream(id, socket, response) {
    this.#running++
    const head = { 'Attempt-Id': id, 'Server-Signature': `signature-of-${id}`, 'Content-Type': 'text/event-stream', 'Replica-Load': this.#load() }
    response.writeHead(200, head)
    let sent = 0
    while (sent < EVENTS && !socket.destroyed) {
      response.write(eventText(++sent, EVENTS))
      await wait(EVENT_INTERVAL_MS)
    }
    this.#running--
    response.end()
    this.record(`${this.id} ${sent === EVENTS ? 'has sent all of' : 'drops'} ${id}`)
    return sent === EVENTS ? answerText('200 OK', head, Array.from({ length: EVENTS }, (_, index) => eventText(index + 1, EVENTS)).join('')) : undefined
  }

  #load() {
    return `${this.#running},${this.#waiting},64`
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
      TargetLatencyMs: 2000,
      TargetGapMs: 400,
      Priority: 0,
      Service: 'lm-pool',
      MaxAttempts: 1,
      Phases: [{ Service: 'council-portal', WatchRevision: [], SizeBytes: 8000 }],
      StreamResume: false,
      SessionAffinity: true,
      Public: false,
    }],
    Services: [
      { Name: 'lm-pool', HealthCheckPath: '/healthz', MaxConnections: 280, Engine: { Capacity: 64, KvCapacityTokens: 509_358 } },
      { Name: 'council-portal', HealthCheckPath: '/healthz', MaxConnections: 280, Segments: STAGE },
    ],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
    Tenants: [{ Name: 'depot', ApiKeys: ['key-of-depot'] }],
  }
}

const store = new Store()
const runs = []
let engines = []
const stageReplicas = []
let gateways = []
let starts = 0

async function stream(number, record) {
  const gateway = gateways[number % gateways.length]
  const id = `ask-${String(number).padStart(5, '0')}`
  const headers = {
    'Attempt-Id': id,
    'Api-Key': 'key-of-depot',
    'Model': 'm',
    'Token-Usage': `${PROMPT_TOKENS},300`,
    'Prompt-Prefix': `${number.toString(16).padStart(8, '0')}:${PROMPT_TOKENS}`,
    'Chunk-Count': String(PIECES),
    'Chunk-Key': number.toString(16).padStart(12, '0'),
  }
  record(`client sends ${id} to ${gateway.name}`)
  const seen = await send({ port: gateway.port, path: `${ROUTE_PREFIX}${number}`, host: HOST, headers, body: 'prompt', deadlineMs: DEADLINE_MS })
  const events = seen.body.match(/^id: \d+$/gm)?.length ?? 0
  record(`client got ${id} from ${gateway.name}: status ${seen.status ?? 'none'}, ${events} events, ${seen.complete ? 'complete' : seen.error}`)
  return seen.status === 200 && seen.complete && events === EVENTS
}

async function startStageReplica(zone, record) {
  const replica = new StageReplica(`i-stage-${starts++}`, 'council-portal', zone, record)
  await replica.start()
  store.put(TOPIC_SERVERS, replica.id, replica.entry(1))
  return replica
}

/** Crashes one stage replica; another process takes its place after a while. */
async function crashStageReplica(index, record) {
  const crashed = stageReplicas[index]
  record(`${crashed.id} crashes`)
  crashed.crash()
  setTimeout(() => store.put(TOPIC_SERVERS, crashed.id, undefined), LAPSE_MS)
  await wait(DOWN_MS)
  stageReplicas[index] = await startStageReplica(crashed.zone, record)
  record(`${stageReplicas[index].id} starts`)
}

/** The ids that model replicas ran more than once, with where they did. */
function findRepeats() {
  const engineLists = new Map()
  for (const { id, engine } of runs)
    engineLists.set(id, [...engineLists.get(id) ?? [], engine])
  return [...engineLists].filter(([, list]) => list.length > 1)
}

async function play({ record, directory }) {
  await store.start()
  for (let number = 0; number < STAGE_REPLICAS; number++)
    stageReplicas.push(await startStageReplica(ZONES[number], record))
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
  const sendClump = async () => {
    for (let number = 0; number < CLUMP_STREAMS; number++) {
      streams.push(stream(streams.length, record))
      await wait(CLUMP_SPACING_MS)
    }
  }
  const playClump = async (isCrashed, index) => {
    void sendClump()
    await wait(CRASH_AFTER_MS)
    if (isCrashed)
      void crashStageReplica(index % STAGE_REPLICAS, record)
    await wait(CLUMP_INTERVAL_MS - CRASH_AFTER_MS)
  }
  for (let clump = 0; clump < WARM_UP_CLUMPS; clump++)
    await playClump(false, clump)
  for (let fault = 0; fault < FAULTS; fault++) {
    isFaultOn = withTrouble
    setTimeout(() => isFaultOn = false, FAULT_MS)
    await playClump(withTrouble, fault)
  }
  const served = (await Promise.all(streams)).filter(Boolean).length
  const repeats = findRepeats()
  for (const [id, list] of repeats)
    record(`BROKEN: ${id} was run ${list.length} times, by ${list.join(' and ')}`)
  const surplus = engines.reduce((sum, engine) => sum + engine.surplus, 0)
  const text = `${streams.length} streams, ${served} served whole, ${surplus} surplus answers, ${repeats.length} requests run more than once`
  return { code: repeats.length > 0 ? BROKEN : HELD, text }
}

await runScript({
  recordFile: fileURLToPath(new URL('record.txt', import.meta.url)),
  limitMs: LIMIT_MS,
  play,
  stop: () => {
    gateways.forEach(gateway => gateway.stop())
    engines.forEach(engine => engine.stop())
    stageReplicas.forEach(replica => replica.stop())
    store.stop()
  },
})
