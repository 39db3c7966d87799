/**
 * A running deployment for the demo and the tests: manages its processes, the
 * faults of its stand-ins and its VM list, and reads its status. It owns the
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

const KEY_BYTES = 24

/**
 * Timeout for operator calls to the log. On an overloaded machine (load average
 * 59 on 10 processors) the log took longer to answer than the clients' default
 * timeout of 1 s.
 */
export const OPERATOR_TIMEOUT_MS = 10_000
/** Interval between probes of a backend server that does not answer; short compared with the duration of a recovery. */
const PROBE_INTERVAL_MS = 50

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

  /** Starts all processes, publishes the configuration and waits until it is in force. On failure, stops all processes and throws. */
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

  /** URLs of the entries for their callers. */
  get entryUrls(): string[] {
    return this.list(ProcessKind.Entry).map(entry => entry.url!)
  }

  /** Path of the settings file for the operators' command line. */
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

  /** Starts an exited process again and updates its address in the VM list. */
  override async restart(name: string): Promise<void> {
    await super.restart(name)
    const { kind, peer } = this.find(name)
    if (kind === ProcessKind.Entry || kind === ProcessKind.Side)
      await this.setVirtualMachines(this.virtualMachines.map(listed => listed.name === name ? { ...listed, address: peer! } : listed))
  }

  /** Publishes the new addresses of restarted sides, as operators do when a VM is replaced. */
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
      throw new Error(`${url} rejected the faults: ${response.text}`)
  }

  /** Sets the faults of every backend server of a service. */
  async setServiceFaults(service: string, faults: StandInFaults): Promise<void> {
    const backends = this.list(ProcessKind.Backend).filter(({ name }) => name.startsWith(`${service}-`))
    await Promise.all(backends.map(({ url }) => this.setFaults(url!, faults)))
  }

  /** Sets the platform's VM list. Has no effect while the list is unavailable; the platform's own updates are lost then as well. */
  async setVirtualMachines(virtualMachines: ListedVirtualMachine[]): Promise<void> {
    this.virtualMachines = virtualMachines
    await post(this.platform.virtualMachines, { virtualMachines })
  }

  /** The VM list as it was last set. */
  get listedVirtualMachines(): ListedVirtualMachine[] {
    return this.virtualMachines
  }

  /** Counts the runs on all backend servers, including killed ones, by account, request and stage. */
  countRuns(): Map<string, number> {
    return countRuns(this.directory)
  }

  /** Returns the start times of the runs of one backend server, in epoch milliseconds. */
  runTimes(sideName: string): number[] {
    return runTimes(this.directory, sideName)
  }

  /** Returns the status of an entry over the operators' interface; undefined if it does not answer. */
  entryStatus(name: string): Promise<ProcessStatus | undefined> {
    return this.status.entryStatus(name)
  }

  /** Returns the status of a side over the operators' interface; undefined if it does not answer. */
  sideStatus(name: string): Promise<ProcessStatus | undefined> {
    return this.status.sideStatus(name)
  }

  /** Waits until every side accepts work and every entry uses all backend servers. */
  waitUntilReady(): Promise<void> {
    return this.status.waitUntilReady()
  }

  /**
   * Resumes frozen processes, restarts exited ones, turns off all faults and waits
   * until the system is ready.
   * @param repair Further repairs that are needed before the system can be ready.
   */
  async recover(repair: () => Promise<void> = async () => {}): Promise<void> {
    for (const launched of [...this.processes.values()])
      await this.resumeOrRestart(launched)
    const backendUrls = this.list(ProcessKind.Backend).map(backend => backend.url!)
    await Promise.all([...Object.values(this.platform), ...backendUrls].map(url => this.setFaults(url, {})))
    await this.publishNewAddresses()
    await repair()
    await this.waitUntilReady()
  }

  /** Kills all processes and removes their directory; use `end` for a graceful stop. */
  override async stop(): Promise<void> {
    await super.stop()
    rmSync(this.directory, { recursive: true, force: true })
  }

  private async resumeOrRestart({ name, kind, url, child, pid }: LaunchedProcess): Promise<void> {
    if (isRunning(child))
      process.kill(pid, 'SIGCONT')
    // A backend server may have died without its exit having been reported yet; a busy one answers later.
    while (kind === ProcessKind.Backend && isRunning(child) && !await isAnswering(url!))
      await wait(PROBE_INTERVAL_MS)
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

/** Posts a JSON value to a stand-in. */
async function post(url: string, value: object) {
  const response = await request(url, { method: 'POST', body: JSON.stringify(value) })
  return { status: response.statusCode, text: await response.body.text() }
}

/** Whether a backend server answers. The error is discarded: the caller only needs to know that there was no answer. */
async function isAnswering(url: string): Promise<boolean> {
  return request(`${url}/v1/load`).then(response => response.body.dump()).then(() => true, () => false)
}
