import { DeploymentName, ProcessKind, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { request } from 'undici'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { DEFAULT_ACCOUNT, smallAnswer, streamPipeline } from '../support/caller.js'
import { CallerRecord } from '../support/oracle.js'

const PROBE_INTERVAL_MS = 100
const CALLER_COUNT = 6
const DEADLINE = { 'eidermast-deadline-ms': '20000' }

let system: RunningSystem

beforeAll(async () => {
  system = await RunningSystem.launch({ deployment: resolveDeployment(DeploymentName.Small) })
})

afterAll(() => system.stop())

/** A load balancer that selects entries that reported ready at the last probe. */
class Balancer {
  private ready: string[] = []
  private next = 0
  private readonly timer = setInterval(() => void this.probe(), PROBE_INTERVAL_MS)

  async probe(): Promise<void> {
    const probes = system.entryUrls.map(async url => await isReady(url) ? [url] : [])
    this.ready = (await Promise.all(probes)).flat()
  }

  pick(): string {
    return this.ready[this.next++ % this.ready.length]
  }

  close(): void {
    clearInterval(this.timer)
  }
}

async function isReady(url: string): Promise<boolean> {
  try {
    const response = await request(`${url}/readyz`, { reset: true })
    await response.body.dump()
    return response.statusCode === 200
  }
  catch {
    return false
  }
}

/** Callers that send sequential requests: pipelines, streams and lookups in a plain service. */
class Callers {
  readonly record = new CallerRecord()
  readonly failures: string[] = []
  private running = true
  private readonly loops: Promise<void>[]

  constructor(private readonly balancer: Balancer) {
    this.loops = Array.from({ length: CALLER_COUNT }, (_, index) => this.loop(index))
  }

  async stop(): Promise<void> {
    this.running = false
    await Promise.all(this.loops)
  }

  private async loop(index: number): Promise<void> {
    const callFunctions = [() => this.call('rider-answer', false), () => this.call('departure-alert', true), () => this.stream(), () => this.lookUp()]
    while (this.running)
      await callFunctions[index % callFunctions.length]()
  }

  private async call(pipeline: string, unrepeatable: boolean): Promise<void> {
    const sent = this.record.begin(pipeline, `${pipeline} ${this.record.requests.length}`, unrepeatable)
    const answer = await this.record.send(sent, this.balancer.pick(), DEADLINE)
    if (answer?.status !== 200)
      this.failures.push(`${pipeline}: ${JSON.stringify(answer)}`)
  }

  private async stream(): Promise<void> {
    const input = `stream ${this.record.requests.length}`
    try {
      const response = await streamPipeline({ entryUrl: this.balancer.pick(), pipeline: 'rider-answer', input, headers: DEADLINE })
      const text = await response.body.text()
      if (!text.includes('"whole":true') || !text.includes(smallAnswer('rider-answer', input)))
        this.failures.push(`stream: ${text.slice(-300)}`)
    }
    catch (error) {
      this.failures.push(`stream: ${String(error)}`)
    }
  }

  private async lookUp(): Promise<void> {
    try {
      const url = `${this.balancer.pick()}/v1/services/rider-app-backend/stops/1`
      const response = await request(url, { headers: { 'eidermast-account': DEFAULT_ACCOUNT, ...DEADLINE } })
      const text = await response.body.text()
      if (response.statusCode !== 200)
        this.failures.push(`stop lookup: ${text}`)
    }
    catch (error) {
      this.failures.push(`stop lookup: ${String(error)}`)
    }
  }
}

describe('a planned stop', () => {
  test('of each process in turn under load interrupts no request and ends with exit code 0', async () => {
    const balancer = new Balancer()
    await balancer.probe()
    const callers = new Callers(balancer)
    const names = [ProcessKind.Entry, ProcessKind.Side, ProcessKind.Backend].flatMap(kind => system.list(kind).map(({ name }) => name))
    const exitCodes: (number | null)[] = []
    for (const name of names) {
      exitCodes.push(await system.end(name, 'SIGTERM'))
      await system.restart(name)
      await system.publishNewAddresses()
      await system.waitUntilReady()
      await balancer.probe()
    }
    await callers.stop()
    balancer.close()
    expect(callers.failures).toEqual([])
    expect(callers.record.violations(system)).toEqual([])
    expect(exitCodes).toEqual(names.map(() => 0))
    expect(callers.record.requests.length).toBeGreaterThan(names.length)
    if (process.env.EIDERMAST_SHOW_FAULTS)
      console.log(`${names.length} processes replaced, ${callers.record.requests.length} requests besides streams and lookups`)
  }, 180_000)
})
