/**
 * Slopes of a running system: processor time for each request and stage call,
 * and what claims and tickets cost.
 */
import type { Slope } from './slopes.js'
import { createLoadKinds, runLoad } from '@eidermast/command-line'
import { HttpLogClient, readConfiguration } from '@eidermast/daemon'
import { request } from 'undici'
import { v7 as uuidv7 } from 'uuid'
import { DeploymentName, resolveDeployment } from './deployment.js'
import { delay } from './http-service.js'
import { ProcessKind, RunningSystem } from './launcher.js'
import { LogOutage } from './log-service.js'

const RATES = [10, 40, 80]
const RATE_SECONDS = 8
const IDLE_SECONDS = 8
const AUTHORITY_REQUESTS = 200
const ACCOUNT = 'rider-app'
const PIPELINE = 'departure-alert'

interface ProcessFigures {
  cpuSeconds: number
  residentBytes: number
}

async function readFigures(url: string): Promise<ProcessFigures> {
  const text = await (await request(`${url}/metrics`)).body.text()
  const read = (name: string): number => Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1])
  return { cpuSeconds: read('process_cpu_seconds_total'), residentBytes: read('process_resident_memory_bytes') }
}

async function sumCpu(system: RunningSystem, kind: ProcessKind): Promise<number> {
  const figures = await Promise.all(system.list(kind).map(({ peer }) => readFigures(`http://${peer}`)))
  return figures.reduce((sum, { cpuSeconds }) => sum + cpuSeconds, 0)
}

/** Processor time of entries and sides, idle and by request rate. */
export async function measureRequests(): Promise<Slope[]> {
  const system = await RunningSystem.launch({ deployment: resolveDeployment(DeploymentName.Small) })
  const client = new HttpLogClient({ url: system.logServiceUrl })
  const kinds = createLoadKinds((await readConfiguration(client))!)
  await client.close()
  const slopes: Slope[] = [...await measureIdle(system)]
  for (const ratePerSecond of RATES) {
    const before = [await sumCpu(system, ProcessKind.Entry), await sumCpu(system, ProcessKind.Side)]
    const report = await runLoad({ entryUrls: system.entryUrls, kinds, ratePerSecond, seconds: RATE_SECONDS })
    const after = [await sumCpu(system, ProcessKind.Entry), await sumCpu(system, ProcessKind.Side)]
    const perRequest = after.map((seconds, index) => (seconds - before[index]) * 1000 / report.overall.sent)
    slopes.push({ subject: 'processor time by requests', size: `${ratePerSecond} requests a second`, figure: `${perRequest[0].toFixed(2)} ms a request at the entries, ${perRequest[1].toFixed(2)} ms at the sides of all its stages` })
  }
  await system.stop()
  return slopes
}

async function measureIdle(system: RunningSystem): Promise<Slope[]> {
  await delay(IDLE_SECONDS * 1000)
  return Promise.all([ProcessKind.Entry, ProcessKind.Side].map(async (kind) => {
    const [{ peer }] = system.list(kind)
    const before = await readFigures(`http://${peer}`)
    await delay(IDLE_SECONDS * 1000)
    const after = await readFigures(`http://${peer}`)
    const corePercent = (after.cpuSeconds - before.cpuSeconds) * 100 / IDLE_SECONDS
    return { subject: `idle ${kind}`, size: 'small deployment', figure: `${corePercent.toFixed(2)}% of a core, ${(after.residentBytes / 1_000_000).toFixed(0)} MB resident` }
  }))
}

/** Added latency of claims and tickets, appends, and what is served while the log is out. */
export async function measureAuthority(): Promise<Slope[]> {
  const system = await RunningSystem.launch({ deployment: resolveDeployment(DeploymentName.Small) })
  const slopes: Slope[] = []
  for (const [name, createHeaders] of Object.entries(AUTHORITIES)) {
    const before = await countAppends(system)
    const startedAt = performance.now()
    const milliseconds = await sendAll(system, createHeaders)
    const seconds = (performance.now() - startedAt) / 1000
    const appends = await countAppends(system) - before
    slopes.push({ subject: `unrepeatable request, ${name}`, size: `${AUTHORITY_REQUESTS} requests, 4 at once`, figure: `p50 ${quantile(milliseconds, 0.5)} ms, p99 ${quantile(milliseconds, 0.99)} ms, ${(appends / seconds).toFixed(1)} appends a second` })
  }
  await system.setFaults(system.logServiceUrl, { outage: LogOutage.Refuse })
  for (const [name, createHeaders] of Object.entries(AUTHORITIES)) {
    const served = (await sendAll(system, createHeaders)).length
    slopes.push({ subject: `served while the log is out, ${name}`, size: `${AUTHORITY_REQUESTS} requests`, figure: `${(served * 100 / AUTHORITY_REQUESTS).toFixed(1)}%` })
  }
  await system.stop()
  return slopes
}

type CreateHeaders = (entryUrl: string) => Promise<Record<string, string>>

const AUTHORITIES: Record<string, CreateHeaders> = {
  'id made by the entry': async () => ({}),
  'claim': async () => ({ 'eidermast-request-id': uuidv7() }),
  'ticket': issueTicket,
}

async function issueTicket(entryUrl: string): Promise<Record<string, string>> {
  const response = await request(`${entryUrl}/v1/tickets`, { method: 'POST', headers: { 'eidermast-account': ACCOUNT } })
  const { ticket } = await response.body.json() as { ticket: string }
  return { 'eidermast-ticket': ticket }
}

/** Sends requests, four at once, and returns the milliseconds of those answered whole. */
async function sendAll(system: RunningSystem, createHeaders: CreateHeaders): Promise<number[]> {
  const milliseconds: number[] = []
  let left = AUTHORITY_REQUESTS
  const work = async (): Promise<void> => {
    while (left-- > 0) {
      const entryUrl = system.entryUrls[left % system.entryUrls.length]
      const startedAt = performance.now()
      const headers = await createHeaders(entryUrl)
      const response = await request(`${entryUrl}/v1/pipelines/${PIPELINE}/requests`, { method: 'POST', headers: { 'eidermast-account': ACCOUNT, ...headers }, body: '{"input":"slope"}' })
      await response.body.dump()
      if (response.statusCode === 200)
        milliseconds.push(performance.now() - startedAt)
    }
  }
  await Promise.all([work(), work(), work(), work()])
  return milliseconds
}

async function countAppends(system: RunningSystem): Promise<number> {
  const { appends } = await (await request(`${system.logServiceUrl}/statistics`)).body.json() as { appends: number }
  return appends
}

function quantile(milliseconds: number[], share: number): string {
  const sorted = [...milliseconds].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]?.toFixed(0) ?? '-'
}
