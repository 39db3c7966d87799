/**
 * Measures the decisions: baseline and candidate in turn, under steady load,
 * overload and faults, at a deployment's size. Writes docs/MEASUREMENTS.md.
 */
import type { LoadKind } from '@eidermast/command-line'
import type { Deployment } from './deployment.js'
import type { MeasuredCell } from './measure-report.js'
import { writeFileSync } from 'node:fs'
import { createLoadKinds, runLoad } from '@eidermast/command-line'
import { HttpLogClient, readConfiguration } from '@eidermast/daemon'
import { Command, Option } from 'commander'
import { request } from 'undici'
import { v7 as uuidv7 } from 'uuid'
import { DeploymentName, resolveDeployment } from './deployment.js'
import { ProcessKind, RunningSystem } from './launcher.js'
import { LogOutage } from './log-service.js'
import { formatMeasurements } from './measure-report.js'

/** Decision classes that a system is launched with. */
export interface Variant {
  name: string
  entrySettings: Record<string, string>
  sideSettings: Record<string, string>
}

/** One situation to measure. */
interface Situation {
  name: string
  /** Request rate relative to the measured capacity. */
  relativeRate: number
  /** Brings the situation about. */
  prepare?: (system: RunningSystem) => Promise<void>
  /** Account whose requests come five times as often in the middle third. */
  burstAccount?: string
}

interface MeasureOptions {
  deployment: DeploymentName
  pairs: string
  seconds: string
  variants: string
  situations: string
  output: string
}

const BASELINE: Variant = {
  name: 'baseline',
  entrySettings: { 'admission': 'all', 'choice': 'random', 'stage-budget': 'whole', 'retry': 'fixed', 'ejection': 'none' },
  sideSettings: { queue: 'fifo' },
}

const CANDIDATE: Variant = { name: 'candidate', entrySettings: {}, sideSettings: {} }

/** The baseline, the candidate, and the candidate with one decision turned off. */
const VARIANTS: Variant[] = [
  BASELINE,
  CANDIDATE,
  ...Object.entries(BASELINE.entrySettings).map(([decision, name]) => ({ name: `without-${decision}`, entrySettings: { [decision]: name }, sideSettings: {} })),
  { name: 'without-queue', entrySettings: {}, sideSettings: BASELINE.sideSettings },
]

const LANGUAGE_MODEL = 'language-model-1'
const BURST_FACTOR = 5
const CAPACITY_CALLERS = 192
const CAPACITY_SECONDS = 6
const SETTLE_MS = 1000
/** Engines of this measurement are slow enough for them, not this machine, to be the limit. */
const ENGINE_BASE_MS = 100
const ENGINE_TOKEN_MS = 8

const SITUATIONS: Situation[] = [
  { name: 'steady 0.5', relativeRate: 0.5 },
  { name: 'steady 0.9', relativeRate: 0.9 },
  { name: 'overload 1.2', relativeRate: 1.2 },
  { name: 'overload 2.0', relativeRate: 2 },
  { name: 'burst of one account', relativeRate: 0.7, burstAccount: 'largest' },
  { name: 'one replica 10x slow', relativeRate: 0.5, prepare: system => setEngineFaults(system, { slowFactor: 10 }) },
  { name: 'one replica fails half', relativeRate: 0.5, prepare: system => setEngineFaults(system, { failShare: 0.5 }) },
  { name: 'one replica hangs', relativeRate: 0.5, prepare: system => setEngineFaults(system, { hang: true }) },
  { name: 'log out', relativeRate: 0.5, prepare: system => system.setFaults(system.logServiceUrl, { outage: LogOutage.Refuse }) },
]

await main()

async function main(): Promise<void> {
  const program = new Command('measure')
    .addOption(new Option('--deployment <name>', 'which deployment').choices(Object.values(DeploymentName)).default(DeploymentName.Coventry))
    .option('--pairs <n>', 'how often each variant is measured', '3')
    .option('--seconds <n>', 'seconds of each load', '10')
    .option('--variants <names>', 'separated by commas', 'baseline,candidate')
    .option('--situations <names>', 'separated by commas; all where absent', '')
    .option('--output <file>', 'the page to write', 'docs/MEASUREMENTS.md')
  program.parse()
  const options = program.opts<MeasureOptions>()
  const deployment = slowEngines(resolveDeployment(options.deployment))
  const variants = options.variants.split(',').map(resolveVariant)
  const situations = resolveSituations(options.situations)
  const capacity = await measureCapacity(deployment)
  console.log(`capacity ${capacity.toFixed(0)} requests a second`)
  const cells: MeasuredCell[] = []
  for (let pair = 0; pair < Number(options.pairs); pair++) {
    for (const variant of variants)
      cells.push(...await measureVariant(deployment, variant, capacity, situations, Number(options.seconds), pair))
  }
  writeFileSync(options.output, formatMeasurements({ deployment: options.deployment, capacity, seconds: Number(options.seconds), pairs: Number(options.pairs), cells }))
}

function resolveVariant(name: string): Variant {
  const variant = VARIANTS.find(candidate => candidate.name === name)
  if (!variant)
    throw new Error(`no variant is named ${name}; use ${VARIANTS.map(candidate => candidate.name).join(', ')}`)
  return variant
}

function resolveSituations(names: string): Situation[] {
  if (names === '')
    return SITUATIONS
  const wanted = names.split(',')
  return SITUATIONS.filter(situation => wanted.includes(situation.name))
}

function slowEngines(deployment: Deployment): Deployment {
  const pools = deployment.pools.map(pool => pool.model ? { ...pool, baseMs: ENGINE_BASE_MS, tokenMs: ENGINE_TOKEN_MS } : pool)
  return { ...deployment, pools }
}

/** Requests a second that callers get who send one after another. */
async function measureCapacity(deployment: Deployment): Promise<number> {
  const system = await RunningSystem.launch({ deployment, entrySettings: CANDIDATE.entrySettings })
  const kinds = (await readKinds(system)).filter(kind => !kind.unrepeatable)
  const endAt = performance.now() + CAPACITY_SECONDS * 1000
  let done = 0
  const work = async (caller: number): Promise<void> => {
    for (let index = caller; performance.now() < endAt; index += CAPACITY_CALLERS) {
      const kind = kinds[index % kinds.length]
      const response = await request(system.entryUrls[index % system.entryUrls.length] + kind.path(index), {
        method: kind.method,
        headers: { 'eidermast-account': kind.account, 'eidermast-deadline-ms': '60000' },
        body: kind.input ? JSON.stringify({ input: kind.input(index) }) : null,
      })
      await response.body.dump()
      if (response.statusCode === 200)
        done++
    }
  }
  await Promise.all(Array.from({ length: CAPACITY_CALLERS }, (_, caller) => work(caller)))
  await system.stop()
  return done / CAPACITY_SECONDS
}

/** Measures every situation with one variant, on one launched system. */
async function measureVariant(deployment: Deployment, variant: Variant, capacity: number, situations: Situation[], seconds: number, pair: number): Promise<MeasuredCell[]> {
  const system = await RunningSystem.launch({ deployment, entrySettings: variant.entrySettings, sideSettings: variant.sideSettings })
  const cells: MeasuredCell[] = []
  try {
    for (const situation of situations) {
      const cell = await measureSituation(system, situation, variant, capacity, seconds, pair)
      cells.push(cell)
      console.log(`${variant.name}, ${situation.name}: attainment ${cell.report.overall.attainment.toFixed(4)}, goodput ${cell.report.goodputPerSecond.toFixed(1)}`)
      await system.recover()
    }
  }
  finally {
    await system.stop()
  }
  return cells
}

async function measureSituation(system: RunningSystem, situation: Situation, variant: Variant, capacity: number, seconds: number, pair: number): Promise<MeasuredCell> {
  const kinds = await readKinds(system)
  await situation.prepare?.(system)
  const before = await readCosts(system)
  const unrepeatable = new Set<string>()
  const report = await runLoad({
    entryUrls: system.entryUrls,
    kinds,
    ratePerSecond: capacity * situation.relativeRate,
    seconds,
    seed: pair + 1,
    burst: situation.burstAccount ? { account: largestAccount(kinds), fromSecond: seconds / 3, toSecond: seconds * 2 / 3, factor: BURST_FACTOR } : undefined,
    createRequestId: kind => createRecordedId(kind, unrepeatable),
  })
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS))
  const after = await readCosts(system)
  const used = after.used - before.used
  const wasted = after.wasted - before.wasted
  return { situation: situation.name, variant: variant.name, report, wastedShare: wasted / Math.max(1, used + wasted), doubled: countDoubled(system, unrepeatable) }
}

function createRecordedId(kind: LoadKind, unrepeatable: Set<string>): string | undefined {
  if (!kind.unrepeatable)
    return undefined
  const requestId = uuidv7()
  unrepeatable.add(requestId)
  return requestId
}

function countDoubled(system: RunningSystem, unrepeatable: Set<string>): number {
  return [...system.countRuns()].filter(([key, count]) => count > 1 && unrepeatable.has(key.split('/')[1])).length
}

async function readKinds(system: RunningSystem): Promise<LoadKind[]> {
  const client = new HttpLogClient({ url: system.logServiceUrl })
  const configuration = await readConfiguration(client)
  await client.close()
  if (!configuration)
    throw new Error('the configuration could not be read')
  return createLoadKinds(configuration)
}

function largestAccount(kinds: LoadKind[]): string {
  return kinds.reduce((largest, kind) => kind.weight > largest.weight ? kind : largest).account
}

async function setEngineFaults(system: RunningSystem, faults: object): Promise<void> {
  await system.setFaults(system.find(`${LANGUAGE_MODEL}.backend`).url!, faults)
}

interface Costs {
  used: number
  wasted: number
}

/** Cost that the entries have counted so far. */
async function readCosts(system: RunningSystem): Promise<Costs> {
  const costs: Costs = { used: 0, wasted: 0 }
  for (const { url } of system.list(ProcessKind.Entry)) {
    const text = await (await request(`${url}/metrics`)).body.text()
    for (const [, use, value] of text.matchAll(/^eidermast_stage_cost_total\{.*use="(used|wasted)"\} (\S+)$/gm))
      costs[use as keyof Costs] += Number(value)
  }
  return costs
}
