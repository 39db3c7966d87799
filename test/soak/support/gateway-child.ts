/**
 * A gateway child process that runs the deployed bundle and can be stopped,
 * killed, paused and restarted.
 */
import type { ChildProcess } from 'node:child_process'
import type { GatewayPorts, SettingsOptions } from '../../platform/support/gateway-settings.js'
import { spawn } from 'node:child_process'
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs'
import path from 'node:path'
import { request } from 'undici'
import { createSettings, freePorts } from '../../platform/support/gateway-settings.js'

/** Bundle built from this checkout. */
const CURRENT_BUNDLE = path.resolve('target/eidermast-gateway.mjs')

/** A signal to a process that is already terminating. */
export interface TimedSignal {
  afterMs: number
  signal: NodeJS.Signals
}

/** A gateway; every start uses new ports, unless `keepsPorts` is set. */
export class GatewayChild {
  /** Bundle that the next started process runs. */
  bundle = CURRENT_BUNDLE
  /** Whether restarts use the ports of the first start, as processes on a VM do. */
  keepsPorts = false
  /** Further options of Node.js, such as a module to load first. */
  nodeOptions: readonly string[] = []
  /** URL for clients. */
  address = ''
  private ports: GatewayPorts | undefined
  private readiness = ''
  private metrics = ''
  private child: ChildProcess | undefined
  private exited: Promise<void> = Promise.resolve()
  /** Settles after all requested replacements, which are serialized. */
  private replacements: Promise<void> = Promise.resolve()

  constructor(private readonly name: string, private readonly storeAddress: string, private readonly directory: string, private readonly options: SettingsOptions = {}) {}

  private get logFile(): string {
    return path.join(this.directory, `${this.name}.log`)
  }

  async start(): Promise<void> {
    const ports = this.keepsPorts && this.ports ? this.ports : await freePorts()
    this.ports = ports
    const settings = path.join(this.directory, `${this.name}.ini`)
    writeFileSync(settings, createSettings(this.name, ports, this.storeAddress, this.options))
    const child = spawn(process.execPath, [...this.nodeOptions, this.bundle], { env: { ...process.env, EIDERMAST_SETTINGS: settings }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(this.logFile, { flags: 'a' })
    child.stdout.pipe(log)
    child.stderr.pipe(log)
    this.exited = new Promise(resolve => child.once('exit', () => resolve()))
    this.child = child
    this.address = `http://127.0.0.1:${ports.clients}`
    this.readiness = `http://127.0.0.1:${ports.readiness}`
    this.metrics = `http://127.0.0.1:${ports.metrics}/metrics`
  }

  /** Replaces the process with one that runs the bundle of this checkout. */
  upgrade(): Promise<void> {
    this.bundle = CURRENT_BUNDLE
    return this.replace('SIGTERM')
  }

  /** Returns what all its processes have logged. */
  readLog(): string {
    return readFileSync(this.logFile, 'utf8')
  }

  async readMetrics(): Promise<string> {
    return (await request(this.metrics, { signal: AbortSignal.timeout(1000) })).body.text()
  }

  /** Whether the current process has not ended. */
  get isRunning(): boolean {
    return this.child?.exitCode === null && this.child.signalCode === null
  }

  /** Sends a signal to the current process. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal)
  }

  /** Terminates the process with a signal and starts a new one. Sends the further signals to the terminating process. */
  replace(signal: NodeJS.Signals, further: readonly TimedSignal[] = []): Promise<void> {
    this.replacements = this.replacements.then(() => this.replaceNow(signal, further))
    return this.replacements
  }

  private async replaceNow(signal: NodeJS.Signals, further: readonly TimedSignal[]): Promise<void> {
    const { child } = this
    this.signal('SIGCONT')
    this.signal(signal)
    for (const { afterMs, signal: furtherSignal } of further)
      setTimeout(() => child?.kill(furtherSignal), afterMs)
    await this.exited
    await this.start()
  }

  async end(): Promise<void> {
    await this.replacements
    this.signal('SIGKILL')
    await this.exited
  }

  async isReady(): Promise<boolean> {
    try {
      const response = await request(this.readiness, { signal: AbortSignal.timeout(500) })
      await response.body.dump()
      return response.statusCode === 200
    }
    catch {
      return false
    }
  }
}
