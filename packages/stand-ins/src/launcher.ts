/**
 * Starts a whole deployment on loopback, each part as a process of its own,
 * with ports from the system. For demo, tests and load runs; the system's own
 * processes start none.
 */
import type { ChangeRecord, ProcessStatus } from '@eidermast/daemon'
import type { ChildProcess } from 'node:child_process'
import type { Deployment, PoolDeployment } from './deployment.js'
import type { ListedMachine } from './platform-services.js'
import { spawn } from 'node:child_process'
import { randomBytes } from 'node:crypto'
import { once } from 'node:events'
import { existsSync, mkdtempSync, openSync, readdirSync, rmSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { backendSchema, callPeer, CallState, CONFIGURATION_STREAM, connectEntry, connectSide, HttpLogClient, MemberState, NO_OFFSET, ObjectKind, publishChange, PublishOutcome, readConfiguration, RecordKind } from '@eidermast/daemon'
import { request } from 'undici'
import { v7 as uuidv7 } from 'uuid'
import { BackendKind } from './backend-service.js'
import { isRunning, readFirstLine, untilEnded } from './child-process.js'
import { delay } from './http-service.js'
import { readRuns } from './run-counts.js'

/** What a launched process is. */
export enum ProcessKind {
  Platform = 'platform',
  Backend = 'backend',
  Side = 'side',
  Entry = 'entry',
}

/** One launched process. */
export interface LaunchedProcess {
  kind: ProcessKind
  name: string
  pid: number
  /** URL of a stand-in, or the callers' URL of an entry. */
  url?: string
  /** Address between processes, of entries and sides. */
  peer?: string
  child: ChildProcess
}

/** Options of a launch. */
export interface LaunchOptions {
  deployment: Deployment
  /**
   * Settings to put into every entry's section `entry`.
   * @default {}
   */
  entrySettings?: Record<string, string>
  /**
   * Settings to put into every side's section `side`.
   * @default {}
   */
  sideSettings?: Record<string, string>
  /**
   * Settings to put into every section `platform`.
   * @default {}
   */
  platformSettings?: Record<string, string>
  /**
   * Milliseconds for which the log keeps records.
   * @default 86400000
   */
  retentionMs?: number
  /**
   * Milliseconds by which the VM list lags.
   * @default 0
   */
  listLagMs?: number
}

const require = createRequire(import.meta.url)
const STAND_IN_PROGRAM = fileURLToPath(new URL('./stand-in.js', import.meta.url))
const DAEMON_PROGRAM = path.join(path.dirname(require.resolve('@eidermast/daemon')), '..', 'bin', 'eidermastd.js')
const READY_TIMEOUT_MS = 15_000
const STATUS_TIMEOUT_MS = 2000
const POLL_MS = 50
const STARTS_AT_ONCE = 8
const RUNS_SUFFIX = '.runs'

/** A running deployment. */
export class RunningSystem {
  readonly processes = new Map<string, LaunchedProcess>()
  readonly directory = mkdtempSync(path.join(tmpdir(), 'eidermast-'))
  readonly key = randomBytes(24).toString('hex')
  /** Parameters that each process was started with. */
  private readonly parameters = new Map<string, string[]>()
  private machines: ListedMachine[] = []
  private logUrl = ''
  private machinesUrl = ''
  private weightsUrl = ''

  private constructor(private readonly options: LaunchOptions) {}

  /** Starts every process, publishes the configuration and waits until it is in force. */
  static async launch(options: LaunchOptions): Promise<RunningSystem> {
    const system = new RunningSystem(options)
    try {
      await system.startPlatform()
      await system.startBackends()
      await system.startEntries()
      await system.publish()
      await system.waitUntilReady()
    }
    catch (error) {
      await system.stop()
      throw error
    }
    return system
  }

  /** Processes of one kind. */
  list(kind: ProcessKind): LaunchedProcess[] {
    return [...this.processes.values()].filter(launched => launched.kind === kind)
  }

  find(name: string): LaunchedProcess {
    const launched = this.processes.get(name)
    if (!launched)
      throw new Error(`no process is named ${name}`)
    return launched
  }

  /** URLs of the entries for callers. */
  get entryUrls(): string[] {
    return this.list(ProcessKind.Entry).map(entry => entry.url!)
  }

  /** The settings file for the operators' command line. */
  get commandLineSettings(): string {
    return path.join(this.directory, 'eidermast.ini')
  }

  get logServiceUrl(): string {
    return this.logUrl
  }

  get weightStoreUrl(): string {
    return this.weightsUrl
  }

  get machineListUrl(): string {
    return this.machinesUrl
  }

  /** Sends a signal to a process by its id. */
  signal(name: string, signal: NodeJS.Signals): void {
    process.kill(this.find(name).pid, signal)
  }

  /** Sends a signal and waits for the process's end; returns its exit code. */
  async end(name: string, signal: NodeJS.Signals): Promise<number | null> {
    const { child } = this.find(name)
    if (!isRunning(child))
      return child.exitCode
    const exited = once(child, 'exit')
    process.kill(this.find(name).pid, signal)
    await exited
    return child.exitCode
  }

  /** Starts an ended process again as it was started first; a backend server on its old port, others on a new one. */
  async restart(name: string): Promise<void> {
    const { kind, url } = this.find(name)
    const port = kind === ProcessKind.Backend ? ['--port', new URL(url!).port] : []
    await this.start(kind, name, [...this.parameters.get(name)!, ...port])
    if (kind === ProcessKind.Entry || kind === ProcessKind.Side)
      await this.listAgain(name)
  }

  /** Publishes the new addresses of restarted sides, as operators do for replaced VMs. */
  async publishNewAddresses(): Promise<void> {
    const client = new HttpLogClient({ url: this.logUrl })
    const configuration = await readConfiguration(client)
    for (const { name, offset, value } of configuration?.list(ObjectKind.Backend) ?? []) {
      const address = this.processes.get(name)?.peer
      if (address === undefined || address === value.address)
        continue
      const publication = await publishChange(client, { kind: ObjectKind.Backend, name, value: { ...value, address }, base: offset })
      if (publication.outcome !== PublishOutcome.Accepted)
        throw new Error(`the new address of ${name} was not accepted: ${publication.outcome}`)
    }
    await client.close()
  }

  /** Sets the faults of a stand-in. */
  async setFaults(url: string, faults: object): Promise<void> {
    const response = await request(`${url}/faults`, { method: 'POST', body: JSON.stringify(faults) })
    await response.body.dump()
    if (response.statusCode !== 200)
      throw new Error(`the faults were refused with status ${response.statusCode}`)
  }

  /** Sets the faults of every backend server of a service. */
  async setServiceFaults(service: string, faults: object): Promise<void> {
    const backends = this.list(ProcessKind.Backend).filter(({ name }) => name.startsWith(`${service}-`))
    await Promise.all(backends.map(({ url }) => this.setFaults(url!, faults)))
  }

  /** Sets what the platform lists. */
  async setMachines(machines: ListedMachine[]): Promise<void> {
    this.machines = machines
    const response = await request(this.machinesUrl, { method: 'POST', body: JSON.stringify({ virtualMachines: machines }) })
    await response.body.dump()
  }

  /** What the platform lists. */
  get listedMachines(): ListedMachine[] {
    return this.machines
  }

  /** Runs counted by the backend servers, killed ones included, by account, request and stage. */
  countRuns(): Map<string, number> {
    const counts = new Map<string, number>()
    for (const file of readdirSync(this.directory)) {
      if (!file.endsWith(RUNS_SUFFIX))
        continue
      for (const { key } of readRuns(path.join(this.directory, file)))
        counts.set(key, (counts.get(key) ?? 0) + 1)
    }
    return counts
  }

  /** When each run of one backend server began, in epoch milliseconds. */
  runTimes(sideName: string): number[] {
    const file = path.join(this.directory, sideName + RUNS_SUFFIX)
    return existsSync(file) ? readRuns(file).map(run => run.time) : []
  }

  /** Status of an entry, as operators get it. */
  async entryStatus(name: string): Promise<ProcessStatus | undefined> {
    const opened = await connectEntry({ address: this.find(name).peer!, key: this.key })
    if (opened.isErr())
      return undefined
    const result = await callPeer(opened.value, client => client.status.query(), STATUS_TIMEOUT_MS)
    opened.value.close()
    return result.state === CallState.Answered ? result.value : undefined
  }

  /**
   * Wakes and restarts what was frozen or ended, and turns every fault off.
   * @param restore What else to put right before everything can be ready.
   */
  async recover(restore: () => Promise<void> = async () => {}): Promise<void> {
    for (const { name, kind, url, child, pid } of [...this.processes.values()]) {
      if (isRunning(child))
        process.kill(pid, 'SIGCONT')
      // A backend server may have died so shortly before that its end is not known yet.
      if (kind === ProcessKind.Backend && isRunning(child) && !await answers(url!))
        await untilEnded(child)
      if (!isRunning(child))
        await this.restart(name)
    }
    const faulty = [this.logUrl, this.machinesUrl, this.weightsUrl, ...this.list(ProcessKind.Backend).map(backend => backend.url!)]
    await Promise.all(faulty.map(url => this.setFaults(url, {})))
    await this.publishNewAddresses()
    await restore()
    await this.waitUntilReady()
  }

  /** Ends every process by its id, at once; for a planned stop see `end`. */
  async stop(): Promise<void> {
    const running = [...this.processes.values()].filter(({ child }) => isRunning(child))
    await Promise.all(running.map(launched => this.stopOne(launched)))
    rmSync(this.directory, { recursive: true, force: true })
  }

  /** Status of a side, as operators get it. */
  async sideStatus(name: string): Promise<ProcessStatus | undefined> {
    const opened = await connectSide({ address: this.find(name).peer!, key: this.key })
    if (opened.isErr())
      return undefined
    const result = await callPeer(opened.value, client => client.status.query(), STATUS_TIMEOUT_MS)
    opened.value.close()
    return result.state === CallState.Answered ? result.value : undefined
  }

  /** Waits until every side takes work, and then until every entry sees that. */
  async waitUntilReady(): Promise<void> {
    const sides = this.list(ProcessKind.Side)
    const giveUpAt = Date.now() + READY_TIMEOUT_MS
    for (const { name } of sides)
      await waitUntil(() => this.takesWork(name), giveUpAt, `${name} takes no work`)
    for (const { name } of this.list(ProcessKind.Entry))
      await waitUntil(async () => await this.countInForce(name) >= sides.length, giveUpAt, `${name} does not see every backend server in force`)
  }

  /** Whether a side takes work and has seen that its backend server is the one that runs now. */
  private async takesWork(sideName: string): Promise<boolean> {
    const status = await this.sideStatus(sideName)
    const seen = status?.detail.find(line => line.subject === 'backend-instance')?.text
    return status?.ready === true && seen === await readInstance(this.find(`${sideName}.backend`).url!)
  }

  private async countInForce(entryName: string): Promise<number> {
    const status = await this.entryStatus(entryName)
    return status?.detail.filter(line => line.text === MemberState.InForce).length ?? 0
  }

  private async startPlatform(): Promise<void> {
    const { retentionMs = 86_400_000, listLagMs = 0 } = this.options
    const [logService, machines, weights] = await Promise.all([
      this.startStandIn(ProcessKind.Platform, 'log', ['log', '--retention-ms', String(retentionMs)]),
      this.startStandIn(ProcessKind.Platform, 'machines', ['machines', '--lag-ms', String(listLagMs)]),
      this.startStandIn(ProcessKind.Platform, 'weights', ['weights']),
    ])
    this.logUrl = logService.url!
    this.machinesUrl = machines.url!
    this.weightsUrl = weights.url!
  }

  private async startBackends(): Promise<void> {
    const starts = this.options.deployment.pools.flatMap(pool => Array.from({ length: pool.replicas }, (_, index) => () => this.startBackend(pool, index)))
    await runLimited(starts, STARTS_AT_ONCE)
  }

  private async startBackend(pool: PoolDeployment, index: number): Promise<void> {
    const name = `${pool.service}-${index + 1}`
    const fences = index % 2 === 0 ? ['--checks-fences'] : []
    const backend = await this.startStandIn(ProcessKind.Backend, `${name}.backend`, [
      'backend',
      '--kind',
      pool.kind,
      '--slots',
      String(pool.slots),
      '--base-ms',
      String(pool.baseMs),
      '--token-ms',
      String(pool.tokenMs),
      '--runs-file',
      path.join(this.directory, name + RUNS_SUFFIX),
      ...fences,
    ])
    const file = this.writeSettings(name, 'side', index, {
      side: { backend: backend.url!, slots: String(pool.slots), ...this.options.sideSettings },
    })
    await this.startDaemon(ProcessKind.Side, name, file)
  }

  private async startEntries(): Promise<void> {
    for (let index = 0; index < this.options.deployment.entries; index++) {
      const name = `entry-${index + 1}`
      const file = this.writeSettings(name, 'entry', index, { entry: this.options.entrySettings ?? {} })
      await this.startDaemon(ProcessKind.Entry, name, file)
    }
  }

  /** Publishes templates, accounts and backend servers in one append, and lists the VMs. */
  private async publish(): Promise<void> {
    const { templates, accounts, pools } = this.options.deployment
    const changes: ChangeRecord[] = [
      ...templates.map(template => createChange(ObjectKind.Template, template.name, template.value)),
      ...accounts.map(account => createChange(ObjectKind.Account, account.name, account.value)),
      ...pools.flatMap(pool => Array.from({ length: pool.replicas }, (_, index) => this.createBackendChange(pool, index))),
    ]
    const client = new HttpLogClient({ url: this.logUrl })
    const appended = await client.append(CONFIGURATION_STREAM, changes)
    await client.close()
    if (appended.isErr())
      throw new Error(`the configuration could not be published: ${appended.error.message}`)
    await this.setMachines([...this.list(ProcessKind.Side), ...this.list(ProcessKind.Entry)].map(launched => this.createListed(launched)))
    writeFileSync(this.commandLineSettings, formatIni({
      platform: { 'log': this.logUrl, 'virtual-machines': this.machinesUrl },
      peers: { key: this.key },
      callers: { entries: this.entryUrls.join(', ') },
    }))
  }

  private createBackendChange(pool: PoolDeployment, index: number): ChangeRecord {
    const name = `${pool.service}-${index + 1}`
    return createChange(ObjectKind.Backend, name, backendSchema.parse({
      order: 'in',
      role: pool.kind === BackendKind.Plain ? 'plain' : 'stage',
      service: pool.service,
      virtualMachine: name,
      address: this.find(name).peer,
      failureDomain: this.failureDomain(index),
      checksOrders: index % 2 === 0,
      model: pool.model,
      version: pool.version,
      adapters: pool.adapters ?? [],
    }))
  }

  private createListed({ kind, name, peer }: LaunchedProcess): ListedMachine {
    const role = kind === ProcessKind.Entry ? 'entry' : 'backend'
    return { name, role, state: 'live', failureDomain: this.failureDomain(0), address: peer! }
  }

  private async listAgain(name: string): Promise<void> {
    const { peer } = this.find(name)
    await this.setMachines(this.machines.map(machine => machine.name === name ? { ...machine, address: peer! } : machine))
  }

  private failureDomain(index: number): string {
    const { failureDomains } = this.options.deployment
    return failureDomains[index % failureDomains.length]
  }

  private writeSettings(name: string, role: string, index: number, sections: IniSections): string {
    const file = path.join(this.directory, `${name}.ini`)
    writeFileSync(file, formatIni({
      process: { role, name, 'virtual-machine': name, 'failure-domain': this.failureDomain(index), 'host': '127.0.0.1', 'key': this.key },
      platform: { 'log': this.logUrl, 'virtual-machines': this.machinesUrl, 'weight-store': this.weightsUrl, ...this.options.platformSettings },
      ...sections,
    }))
    return file
  }

  private async startStandIn(kind: ProcessKind, name: string, parameters: string[]): Promise<LaunchedProcess> {
    return this.start(kind, name, [STAND_IN_PROGRAM, ...parameters])
  }

  private async startDaemon(kind: ProcessKind, name: string, settingsFile: string): Promise<void> {
    await this.start(kind, name, [DAEMON_PROGRAM, '--settings', settingsFile])
  }

  /** Starts a process and waits for the JSON line that says where it listens. */
  private async start(kind: ProcessKind, name: string, parameters: string[]): Promise<LaunchedProcess> {
    this.parameters.set(name, parameters)
    const logFile = openSync(path.join(this.directory, `${name}.log`), 'a')
    const child = spawn(process.execPath, parameters, { stdio: ['ignore', 'pipe', logFile] })
    const line = await readFirstLine(child, name)
    const listening = JSON.parse(line) as { pid: number, url?: string, peer?: string, caller?: string }
    const url = listening.url ?? (listening.caller && `http://${listening.caller}`)
    const launched: LaunchedProcess = { kind, name, pid: listening.pid, url, peer: listening.peer, child }
    this.processes.set(name, launched)
    return launched
  }

  private async stopOne({ name, child, pid }: LaunchedProcess): Promise<void> {
    const exited = once(child, 'exit')
    process.kill(pid, 'SIGKILL')
    await exited
    this.processes.delete(name)
  }
}

async function answers(url: string): Promise<boolean> {
  return request(`${url}/v1/load`).then(response => response.body.dump()).then(() => true, () => false)
}

async function readInstance(backendUrl: string): Promise<string> {
  const response = await request(`${backendUrl}/v1/load`)
  const { instance } = await response.body.json() as { instance: string }
  return instance
}

async function waitUntil(holds: () => Promise<boolean>, giveUpAt: number, message: string): Promise<void> {
  while (!await holds()) {
    if (Date.now() > giveUpAt)
      throw new Error(message)
    await delay(POLL_MS)
  }
}

interface IniSections {
  [section: string]: Record<string, string>
}

function formatIni(sections: IniSections): string {
  return Object.entries(sections)
    .map(([section, keys]) => `[${section}]\n${Object.entries(keys).map(([key, value]) => `${key} = ${value}\n`).join('')}`)
    .join('\n')
}

function createChange(kind: ObjectKind, name: string, value: unknown): ChangeRecord {
  return { record: RecordKind.Change, id: uuidv7(), kind, name, base: NO_OFFSET, value, author: 'launcher' }
}

async function runLimited(starts: (() => Promise<void>)[], limit: number): Promise<void> {
  const left = [...starts]
  const work = async (): Promise<void> => {
    for (let next = left.shift(); next; next = left.shift())
      await next()
  }
  await Promise.all(Array.from({ length: limit }, work))
}
