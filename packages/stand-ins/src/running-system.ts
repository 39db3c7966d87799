/**
 * A running deployment as the demo and the tests use it: its processes and
 * addresses, the faults of its stand-ins, its VM list, its status. It owns the
 * processes and their directory until `stop`.
 */
import type { ProcessStatus } from '@eidermast/daemon'
import type { StandInFaults } from './faults.js'
import type { LaunchOptions } from './launcher.js'
import type { LaunchedProcess } from './process-group.js'
import type { PlatformUrls } from './settings-files.js'
import type { ListedVirtualMachine } from './virtual-machine-list-service.js'
import { randomBytes } from 'node:crypto'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { wait } from '@eidermast/common'
import { HttpLogClient, ObjectKind, publishChange, PublishOutcome, readConfiguration, VirtualMachineRole } from '@eidermast/daemon'
import { request } from 'undici'
import { DaemonStatus } from './daemon-status.js'
import { failureDomain } from './deployment.js'
import { launchProcesses } from './launcher.js'
import { isRunning, ProcessGroup, ProcessKind } from './process-group.js'
import { countRuns, runTimes } from './run-counts.js'
import { commandLineSettingsFile } from './settings-files.js'

/** Bytes of the random key that a deployment's processes share. */
const KEY_BYTES = 24

/**
 * Milliseconds that the log has for an operator's call. On a machine with six
 * times more to do than processors (load average 59 on 10) it answered after
 * more than the clients' default of a second.
 */
export const OPERATOR_TIMEOUT_MS = 10_000
/** Milliseconds before a backend server that did not answer is asked again. It only has to be short beside a recovery. */
const ANSWER_RETRY_MS = 50

/** A running deployment. */
export class RunningSystem extends ProcessGroup {
  /** Shared key of the system's processes. */
  readonly key = randomBytes(KEY_BYTES).toString('hex')
  private readonly status = new DaemonStatus(this, this.key)
  /** Set once the processes are launched. */
  private platform!: PlatformUrls
  private virtualMachines: ListedVirtualMachine[] = []

  private constructor(private readonly options: LaunchOptions) {
    super(mkdtempSync(path.join(tmpdir(), 'eidermast-')))
  }

  /** Starts every process, publishes the configuration and waits until it is in force; throws, with all ended, where that fails. */
  static async launch(options: LaunchOptions): Promise<RunningSystem> {
    const system = new RunningSystem(options)
    try {
      system.platform = await launchProcesses(options, { directory: system.directory, key: system.key, group: system })
      await system.listVirtualMachines()
      await system.waitUntilReady()
      return system
    }
    catch (error) {
      await system.stop()
      throw error
    }
  }

  /** URLs of the entries for callers. */
  get entryUrls(): string[] {
    return this.list(ProcessKind.Entry).map(entry => entry.url!)
  }

  /** The settings file for the operators' command line. */
  get commandLineSettings(): string {
    return commandLineSettingsFile(this.directory)
  }

  get logServiceUrl(): string {
    return this.platform.log
  }

  get weightStoreUrl(): string {
    return this.platform.weightStore
  }

  get virtualMachineListUrl(): string {
    return this.platform.virtualMachines
  }

  /** Starts an ended process again and lists its VM under its new address. */
  override async restart(name: string): Promise<void> {
    await super.restart(name)
    const { kind, peer } = this.find(name)
    if (kind === ProcessKind.Entry || kind === ProcessKind.Side)
      await this.setVirtualMachines(this.virtualMachines.map(listed => listed.name === name ? { ...listed, address: peer! } : listed))
  }

  /** Publishes the new addresses of restarted sides, as operators do for replaced VMs. */
  async publishNewAddresses(): Promise<void> {
    const client = new HttpLogClient({ url: this.platform.log, timeoutMs: OPERATOR_TIMEOUT_MS })
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
  async setFaults(url: string, faults: StandInFaults): Promise<void> {
    const response = await post(`${url}/faults`, faults)
    if (response.status !== 200)
      throw new Error(`${url} refused the faults: ${response.text}`)
  }

  /** Sets the faults of every backend server of a service. */
  async setServiceFaults(service: string, faults: StandInFaults): Promise<void> {
    const backends = this.list(ProcessKind.Backend).filter(({ name }) => name.startsWith(`${service}-`))
    await Promise.all(backends.map(({ url }) => this.setFaults(url!, faults)))
  }

  /** Sets the VMs that the platform lists; without effect while the list is out, as the platform's own updates are then. */
  async setVirtualMachines(virtualMachines: ListedVirtualMachine[]): Promise<void> {
    this.virtualMachines = virtualMachines
    await post(this.platform.virtualMachines, { virtualMachines })
  }

  /** The VMs that were last set to be listed. */
  get listedVirtualMachines(): ListedVirtualMachine[] {
    return this.virtualMachines
  }

  /** Runs counted by the backend servers, killed ones included, by account, request and stage. */
  countRuns(): Map<string, number> {
    return countRuns(this.directory)
  }

  /** When each run of one backend server began, in epoch milliseconds. */
  runTimes(sideName: string): number[] {
    return runTimes(this.directory, sideName)
  }

  /** Status of an entry, as operators get it; undefined where it does not answer. */
  entryStatus(name: string): Promise<ProcessStatus | undefined> {
    return this.status.entryStatus(name)
  }

  /** Status of a side, as operators get it; undefined where it does not answer. */
  sideStatus(name: string): Promise<ProcessStatus | undefined> {
    return this.status.sideStatus(name)
  }

  /** Waits until every side takes work, and then until every entry sees that. */
  waitUntilReady(): Promise<void> {
    return this.status.waitUntilReady()
  }

  /**
   * Wakes and restarts what was frozen or ended, and turns every fault off.
   * @param restore What else to put right before everything can be ready.
   */
  async recover(restore: () => Promise<void> = async () => {}): Promise<void> {
    for (const launched of [...this.processes.values()])
      await this.revive(launched)
    const backendUrls = this.list(ProcessKind.Backend).map(backend => backend.url!)
    await Promise.all([...Object.values(this.platform), ...backendUrls].map(url => this.setFaults(url, {})))
    await this.publishNewAddresses()
    await restore()
    await this.waitUntilReady()
  }

  /** Ends every process by its id, at once; for a planned stop see `end`. */
  override async stop(): Promise<void> {
    await super.stop()
    rmSync(this.directory, { recursive: true, force: true })
  }

  private async revive({ name, kind, url, child, pid }: LaunchedProcess): Promise<void> {
    if (isRunning(child))
      process.kill(pid, 'SIGCONT')
    // A backend server may have died so shortly before that its end is not known yet; one that is busy answers later.
    while (kind === ProcessKind.Backend && isRunning(child) && !await answers(url!))
      await wait(ANSWER_RETRY_MS)
    if (!isRunning(child))
      await this.restart(name)
  }

  private async listVirtualMachines(): Promise<void> {
    const domain = failureDomain(this.options.deployment, 0)
    const createListed = ({ name, peer }: LaunchedProcess, role: VirtualMachineRole): ListedVirtualMachine =>
      ({ name, role, state: 'live', failureDomain: domain, address: peer! })
    await this.setVirtualMachines([
      ...this.list(ProcessKind.Side).map(side => createListed(side, VirtualMachineRole.Backend)),
      ...this.list(ProcessKind.Entry).map(entry => createListed(entry, VirtualMachineRole.Entry)),
    ])
  }
}

/** Posts a value to a stand-in. */
async function post(url: string, value: object) {
  const response = await request(url, { method: 'POST', body: JSON.stringify(value) })
  return { status: response.statusCode, text: await response.body.text() }
}

/** Whether a backend server answers; one that has just ended does not, and that is all the caller asks. */
async function answers(url: string): Promise<boolean> {
  return request(`${url}/v1/load`).then(response => response.body.dump()).then(() => true, () => false)
}
