/**
 * Launches a deployment on loopback for the demo and the tests: the platform's
 * stand-ins, backend servers with their sides, and entries, each as a separate
 * process on a port that the operating system chooses; then publishes the initial
 * configuration. Started processes belong to the caller's process group, even if
 * the launch fails partway.
 */
import type { Deployment, PoolDeployment } from './deployment.js'
import type { LaunchedProcess, ProcessGroup } from './process-group.js'
import type { PlatformUrls, SectionSettings } from './settings-files.js'
import { createRequire } from 'node:module'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { CONFIGURATION_STREAM, HttpLogClient } from '@eidermast/daemon'
import { backendName, checksFences, failureDomain } from './deployment.js'
import { createInitialConfiguration } from './initial-configuration.js'
import { DAY_MS } from './log-service.js'
import { ProcessKind } from './process-group.js'
import { runsFile } from './run-counts.js'
import { writeCommandLineSettings, writeDaemonSettings } from './settings-files.js'

/** Options for launching a deployment. */
export interface LaunchOptions {
  deployment: Deployment
  /**
   * Additional settings for the section `entry` of every entry.
   * @default {}
   */
  entrySettings?: SectionSettings
  /**
   * Additional settings for the section `platform` of every daemon process.
   * @default {}
   */
  platformSettings?: SectionSettings
  /**
   * Retention period of the log in milliseconds.
   * @default 86400000
   */
  retentionMs?: number
}

/** Resources that the caller provides for a launch. */
export interface LaunchContext {
  /** Directory for the settings, logs and run counts of the processes. */
  directory: string
  /** Shared key of the system's processes. */
  key: string
  group: ProcessGroup
}

interface Launch extends LaunchContext {
  options: LaunchOptions
  platform: PlatformUrls
}

const require = createRequire(import.meta.url)
const STAND_IN_PROGRAM = fileURLToPath(new URL('./stand-in.js', import.meta.url))
const DAEMON_PROGRAM = path.join(path.dirname(require.resolve('@eidermast/daemon')), '..', 'bin', 'eidermastd.js')

/**
 * Maximum number of backend servers that start concurrently. Prevents processes
 * from competing for the CPU until one does not listen before its timeout, at the
 * cost of a slower launch.
 */
const MAX_CONCURRENT_STARTS = 8

/** Starts all processes and publishes the configuration, but does not list the VMs. Throws if a process does not start listening. */
export async function launchProcesses(options: LaunchOptions, context: LaunchContext): Promise<PlatformUrls> {
  const platform = await startPlatform(context.group, options.retentionMs ?? DAY_MS)
  const launch: Launch = { ...context, options, platform }
  await startBackends(launch)
  await startEntries(launch)
  await publish(launch)
  const entryUrls = context.group.list(ProcessKind.Entry).map(entry => entry.url!)
  writeCommandLineSettings(context.directory, platform, context.key, entryUrls)
  return platform
}

async function startPlatform(group: ProcessGroup, retentionMs: number): Promise<PlatformUrls> {
  const [log, virtualMachines, weightStore] = await Promise.all([
    startStandIn(group, ProcessKind.Platform, 'log', ['log', '--retention-ms', String(retentionMs)]),
    startStandIn(group, ProcessKind.Platform, 'virtual-machines', ['virtual-machines']),
    startStandIn(group, ProcessKind.Platform, 'weights', ['weights']),
  ])
  return { log: log.url!, virtualMachines: virtualMachines.url!, weightStore: weightStore.url! }
}

async function startBackends(launch: Launch): Promise<void> {
  const { pools } = launch.options.deployment
  const starts = pools.flatMap(pool => Array.from({ length: pool.replicas }, (_, index) => () => startBackend(launch, pool, index)))
  await runWithConcurrency(starts, MAX_CONCURRENT_STARTS)
}

/** Starts a backend server and its side. */
async function startBackend(launch: Launch, pool: PoolDeployment, index: number): Promise<void> {
  const name = backendName(pool, index)
  const backend = await startStandIn(launch.group, ProcessKind.Backend, `${name}.backend`, [
    'backend',
    ...['--kind', pool.kind],
    ...['--slots', String(pool.slots)],
    ...['--base-ms', String(pool.baseMs)],
    ...['--token-ms', String(pool.tokenMs)],
    ...['--runs-file', runsFile(launch.directory, name)],
    ...(checksFences(index) ? ['--checks-fences'] : []),
  ])
  await startDaemon(launch, ProcessKind.Side, name, index, { backend: backend.url!, slots: String(pool.slots) })
}

async function startEntries(launch: Launch): Promise<void> {
  for (let index = 0; index < launch.options.deployment.entries; index++)
    await startDaemon(launch, ProcessKind.Entry, `entry-${index + 1}`, index, launch.options.entrySettings ?? {})
}

/** Publishes the initial configuration in a single append. */
async function publish({ options, platform, group }: Launch): Promise<void> {
  const changes = createInitialConfiguration(options.deployment, name => group.find(name).peer!)
  const client = new HttpLogClient({ url: platform.log })
  const appended = await client.append(CONFIGURATION_STREAM, changes)
  await client.close()
  if (appended.isErr())
    throw new Error(`the configuration could not be published: ${appended.error.message}`)
}

function startStandIn(group: ProcessGroup, kind: ProcessKind, name: string, parameters: string[]): Promise<LaunchedProcess> {
  return group.start(kind, name, [STAND_IN_PROGRAM, ...parameters])
}

async function startDaemon(
  launch: Launch,
  kind: ProcessKind.Entry | ProcessKind.Side,
  name: string,
  index: number,
  roleSettings: SectionSettings,
): Promise<void> {
  const { directory, key, platform, options } = launch
  const file = writeDaemonSettings(directory, {
    name,
    role: kind,
    failureDomain: failureDomain(options.deployment, index),
    key,
    platform,
    platformSettings: options.platformSettings,
    roleSettings,
  })
  await launch.group.start(kind, name, [DAEMON_PROGRAM, '--settings', file])
}

/** Runs async functions with limited concurrency. */
async function runWithConcurrency(tasks: (() => Promise<void>)[], limit: number): Promise<void> {
  const pending = [...tasks]
  const runWorker = async (): Promise<void> => {
    for (let next = pending.shift(); next; next = pending.shift())
      await next()
  }
  await Promise.all(Array.from({ length: limit }, runWorker))
}
