/**
 * Starts gateways as the platform does: with the `run` line of the deploy file, at
 * the root of the repository, with a settings file made from the role's template.
 */
import { spawn } from 'node:child_process'
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import path from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
/** Below the ephemeral ports, so that no outgoing connection takes a port between check and start. */
const PORTS = { first: 11_000, last: 31_000 }
const PORTS_EACH = 4
const CHECK_INTERVAL_MS = 1000
const READY_WAIT_MS = 20_000
/** Delay until the platform starts a process again that has ended. */
const RESTART_DELAY_MS = 500

/** Bounds and limits of the sheet of the small deployment. */
const FIELDS = {
  Bounds: {
    ContactMs: 3000,
    DrainTimeoutMs: 2000,
    GracePeriodS: 8,
    ConfigApplyMs: 2000,
    RetryBudgetRatio: 0.2,
    BudgetWindowS: 10,
    RetryBudgetExtra: 54,
  },
  Limits: { CpuQuota: 0.513, MemoryMb: 350 },
  Contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'platform', 'stages'],
}

let nextPort = PORTS.first + Math.floor(Math.random() * (PORTS.last - PORTS.first - 1000))

async function freePorts(count) {
  const ports = []
  while (ports.length < count) {
    const port = nextPort++
    if (await isFree(port))
      ports.push(port)
  }
  return ports
}

function isFree(port) {
  const server = createServer()
  return new Promise((resolve) => {
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}

/** Fills the gaps `{{a.b}}` of a template; a value that is not given leaves nothing. */
function fill(template, fields) {
  return template.replace(/\{\{([\w.]+)\}\}/g, (_, name) => {
    const value = name.split('.').reduce((field, key) => field?.[key], fields)
    return Array.isArray(value) ? value.join(',') : String(value ?? '')
  })
}

function readDeployFile() {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8')
  const role = text.slice(text.indexOf('[roles.gateway]'))
  const valueOf = name => new RegExp(`^${name} = "(.*)"$`, 'm').exec(role)[1]
  return { run: valueOf('run').split(' '), template: readFileSync(path.join(ROOT, valueOf('template')), 'utf8') }
}

/** One gateway machine. */
export class Gateway {
  ready = false
  #missed = 0
  #stopped = false

  constructor(name, zone, storeAddress, directory, record) {
    Object.assign(this, { name, zone, storeAddress, directory, record })
  }

  async prepare() {
    const [clients, readiness, first, last] = await freePorts(PORTS_EACH)
    this.port = clients
    this.readinessPort = readiness
    const { run, template } = readDeployFile()
    this.run = run
    this.settings = path.join(this.directory, `${this.name}.ini`)
    writeFileSync(this.settings, fill(template, {
      ...FIELDS,
      NodeName: this.name,
      Zone: this.zone,
      Ip: '127.0.0.1',
      InternalPortRange: [first, last],
      Listen: { Frontend: `127.0.0.1:${clients}`, Readiness: `127.0.0.1:${readiness}` },
      Platform: { Address: this.storeAddress },
    }))
    this.log = createWriteStream(path.join(this.directory, `${this.name}.log`), { flags: 'a' })
  }

  /** Starts the process, and again after each of its ends. */
  start() {
    const { PATH, HOME, LANG } = process.env
    const [command, ...parameters] = this.run
    const env = { PATH, HOME, LANG, EIDERMAST_SETTINGS: this.settings }
    this.child = spawn(command, parameters, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] })
    this.child.stdout.pipe(this.log, { end: false })
    this.child.stderr.pipe(this.log, { end: false })
    this.child.once('exit', (code, signal) => {
      this.record(`gateway ${this.name} ended: ${signal ?? `exit code ${code}`}`)
      if (!this.#stopped)
        setTimeout(() => this.#stopped || this.start(), RESTART_DELAY_MS)
    })
    this.checks ??= setInterval(() => this.#check(), CHECK_INTERVAL_MS)
  }

  signal(signal) {
    this.record(`gateway ${this.name} gets ${signal}`)
    this.child.kill(signal)
  }

  /** Ends the process for good. */
  stop() {
    this.#stopped = true
    clearInterval(this.checks)
    this.child?.kill('SIGKILL')
  }

  /** As the platform's balancer: out after two missed checks, in again after a 200. */
  #check() {
    const check = request({ host: '127.0.0.1', port: this.readinessPort, path: '/-/readyz', timeout: CHECK_INTERVAL_MS }, (response) => {
      response.resume()
      this.#note(response.statusCode === 200)
    })
    check.on('timeout', () => check.destroy(new Error('no answer')))
    check.on('error', () => this.#note(false))
    check.end()
  }

  #note(isReady) {
    this.#missed = isReady ? 0 : this.#missed + 1
    if (isReady)
      this.ready = true
    else if (this.#missed >= 2)
      this.ready = false
  }
}

/** Starts gateways in the zones; resolves once all are ready, with false if one is not ready in time. */
export async function startGateways(gateways) {
  for (const gateway of gateways)
    await gateway.prepare()
  gateways.forEach(gateway => gateway.start())
  const deadline = Date.now() + READY_WAIT_MS
  while (gateways.some(gateway => !gateway.ready)) {
    if (Date.now() > deadline)
      return false
    await new Promise(resolve => setTimeout(resolve, 100))
  }
  return true
}
