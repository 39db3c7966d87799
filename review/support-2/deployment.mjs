/**
 * A small deployment on loopback for the cases of the second review: gateways,
 * started with the `run` line of the deploy file and the settings template, and
 * stand-ins for the platform's store and for backend servers. The figures are
 * those of the sheet of wlj-eidermast.
 */
import { Buffer } from 'node:buffer'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request as sendRequest } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import path from 'node:path'
import process from 'node:process'
import { fileURLToPath } from 'node:url'

const HOST = '127.0.0.1'
const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const FIRST_PORT = 10_000
const PORTS = 20_000
const READY_LIMIT_MS = 20_000

export function wait(milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** The platform's store: keyed topics, appended to and read as the pages say. It never fails. */
class Store {
  topics = new Map()
  server = createServer((request, response) => {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => void this.handle(new URL(request.url, 'http://store'), Buffer.concat(chunks), response))
  })

  async start() {
    this.server.listen(0, HOST)
    await once(this.server, 'listening')
    this.address = `${HOST}:${this.server.address().port}`
  }

  put(topic, key, value) {
    this.recordsOf(topic).push({ key, value: Buffer.from(JSON.stringify(value)) })
  }

  recordsOf(topic) {
    if (!this.topics.has(topic))
      this.topics.set(topic, [])
    return this.topics.get(topic)
  }

  async handle({ pathname, searchParams }, body, response) {
    const records = this.recordsOf(searchParams.get('topic'))
    if (pathname === '/-/log-append')
      this.append(records, body, response)
    else if (pathname === '/-/log-newest')
      this.sendNewest(records, response)
    else
      await this.sendRecords(records, searchParams, response)
  }

  append(records, body, response) {
    const valueStart = 5 + body[4]
    records.push({ key: body.subarray(5, valueStart).toString(), value: body.subarray(valueStart) })
    response.end(JSON.stringify({ offset: records.length - 1, end: records.length }))
  }

  sendNewest(records, response) {
    const newest = new Map(records.map(({ key, value }, offset) => [key, { TlsKey: key, Value: value.toString('base64'), offset }]))
    const items = [...newest.values()].filter(({ Value: value }) => value !== '')
    response.end(JSON.stringify({ Items: items, more: false, end: records.length }))
  }

  async sendRecords(records, parameters, response) {
    const source = Number(parameters.get('Source'))
    const until = performance.now() + Number(parameters.get('WaitMs'))
    while (records.length <= source && performance.now() < until && !response.destroyed)
      await wait(10)
    const header = Buffer.alloc(16)
    header.writeBigUInt64BE(BigInt(records.length))
    response.end(Buffer.concat([header, ...records.slice(source).map(encodeRecord)]))
  }
}

function encodeRecord({ key, value }) {
  const name = Buffer.from(key)
  const prefix = Buffer.alloc(5)
  prefix.writeUInt32BE(1 + name.length + value.length)
  prefix[4] = name.length
  return Buffer.concat([prefix, name, value])
}

/** A sound backend server: it runs what it gets, as many requests at once as its capacity. */
class Backend {
  runs = new Map()
  server = createServer((request, response) => void this.handle(request, response))

  constructor({ id, service, zone, capacity, answer }) {
    Object.assign(this, { id, service, zone, capacity, answer })
  }

  async start() {
    this.server.keepAliveTimeout = 8000
    this.server.listen(0, HOST)
    await once(this.server, 'listening')
    this.address = `${HOST}:${this.server.address().port}`
  }

  get entry() {
    return { Service: this.service, Address: this.address, Zone: this.zone, Version: 'v1', Capacity: this.capacity, State: 'ready', ColdRemainingMs: 0, Sequence: 1 }
  }

  async handle(request, response) {
    request.resume()
    await once(request, 'end')
    if (request.url === '/-/report')
      return void response.end(JSON.stringify({ Phase: 'unified', Models: [], Utilization: false, Sequence: 1, Waiting: 0, Running: 0, KvUsed: 0, KvTotal: 509358, PromptHandles: 0 }))
    const id = request.headers['attempt-id']
    if (request.headers['expected-replica'] !== this.id)
      return void response.writeHead(421, { 'Replica-Id': this.id }).end()
    const run = { id, backend: this.id, at: performance.now() }
    this.runs.set(id, run)
    response.setHeader('Attempt-Id', id)
    response.setHeader('Server-Signature', `${this.id}.${id}`)
    response.setHeader('Replica-Load', `${Math.min(this.runs.size, this.capacity)},0,${this.capacity}`)
    response.on('close', () => run.endedAt = performance.now())
    await this.answer(request, response)
  }
}

const takenPorts = new Set()

/** A port below the range from which the kernel takes those of outgoing connections. */
async function findPort() {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS)
    if (!takenPorts.has(port) && await canListen(port)) {
      takenPorts.add(port)
      return port
    }
  }
}

async function canListen(port) {
  const server = createTcpServer()
  const listening = new Promise((resolve) => {
    server.once('error', () => resolve(false))
    server.listen(port, HOST, () => resolve(true))
  })
  if (!await listening)
    return false
  server.close()
  await once(server, 'close')
  return true
}

/** A gateway process. */
class Gateway {
  log = ''

  constructor(name, zone, storeAddress, folder) {
    Object.assign(this, { name, zone, storeAddress, folder })
  }

  async prepare() {
    this.port = await findPort()
    this.readinessPort = await findPort()
    const fields = {
      'NodeName': this.name,
      'Zone': this.zone,
      'Ip': HOST,
      'Listen.Frontend': `${HOST}:${this.port}`,
      'Listen.Readiness': `${HOST}:${this.readinessPort}`,
      'InternalPortRange.0': await findPort(),
      'InternalPortRange.1': await findPort(),
      'Limits.CpuQuota': 0.513,
      'Limits.MemoryMb': 350,
      'Limits.MaxOpenFiles': 4100,
      'Bounds.GracePeriodS': 8,
      'Bounds.ContactMs': 3000,
      'Bounds.ConfigApplyMs': 2000,
      'Bounds.DrainTimeoutMs': 2000,
      'Bounds.RetryBudgetRatio': 0.2,
      'Bounds.RetryBudgetExtra': 54,
      'Bounds.BudgetWindowS': 10,
      'Platform.Address': this.storeAddress,
    }
    const template = readFileSync(path.join(ROOT, 'platform/settings.ini'), 'utf8')
    this.settings = path.join(this.folder, `${this.name}.ini`)
    writeFileSync(this.settings, template.replaceAll(/\{\{([\w.]+)\}\}/g, (_, field) => String(fields[field] ?? '')))
  }

  start() {
    const [, run] = /^run = "(.*)"$/m.exec(readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8'))
    const [program, ...parameters] = run.split(' ')
    const { PATH, HOME } = process.env
    this.child = spawn(program, parameters, { cwd: ROOT, env: { PATH, HOME, EIDERMAST_SETTINGS: this.settings }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.isRunning = true
    this.exited = once(this.child, 'exit').then(() => this.isRunning = false)
    for (const stream of [this.child.stdout, this.child.stderr])
      stream.on('data', chunk => this.log += chunk)
  }

  signal(name) {
    this.child.kill(name)
  }

  isReady() {
    return new Promise((resolve) => {
      const request = sendRequest({ host: HOST, port: this.readinessPort, path: '/-/readyz', timeout: 1000, agent: false }, (response) => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.on('error', () => resolve(false))
      request.on('timeout', () => request.destroy())
      request.end()
    })
  }

  async waitUntilReady() {
    const until = performance.now() + READY_LIMIT_MS
    while (!await this.isReady()) {
      if (performance.now() > until)
        throw new Error(`${this.name} did not become ready: ${this.log.slice(-1000)}`)
      await wait(50)
    }
  }

  async end() {
    if (!this.isRunning)
      return
    this.signal('SIGKILL')
    await this.exited
  }
}

/** The deployment of one case. */
export class Deployment {
  store = new Store()
  folder = mkdtempSync(path.join(tmpdir(), 'eidermast-review-'))
  gateways = []
  backends = []

  /** Starts everything; resolves once all gateways are ready. */
  async start({ zones, routes, services, backends }) {
    await this.store.start()
    for (const options of backends) {
      const backend = new Backend(options)
      await backend.start()
      this.store.put('keyed.servers', backend.id, backend.entry)
      this.backends.push(backend)
    }
    this.store.put('keyed.op', 'config', {
      Version: 1,
      Routes: routes,
      Services: services,
      Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
      Tenants: [],
    })
    for (const zone of zones) {
      const gateway = new Gateway(`edge-${zone}-1`, zone, this.store.address, this.folder)
      await gateway.prepare()
      gateway.start()
      this.gateways.push(gateway)
    }
    await Promise.all(this.gateways.map(gateway => gateway.waitUntilReady()))
  }

  /** The run of a request; undefined if no backend server ran it. */
  findRun(id) {
    return this.backends.map(({ runs }) => runs.get(id)).find(run => run !== undefined)
  }

  /** Ends all processes. */
  async stop() {
    await Promise.all(this.gateways.map(gateway => gateway.end()))
    for (const { server } of [this.store, ...this.backends]) {
      server.close()
      server.closeAllConnections()
    }
    rmSync(this.folder, { recursive: true, force: true })
  }
}
