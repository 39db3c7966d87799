/**
 * Stand-ins of the platform's VM list, which lags, and of its weight store,
 * which is limited in rate.
 */
import type { StandInService } from './http-service.js'
import { z } from 'zod'
import { delay, sendJson, startService } from './http-service.js'

const virtualMachineSchema = z.object({
  name: z.string(),
  role: z.enum(['entry', 'backend']),
  state: z.enum(['live', 'leaving']),
  failureDomain: z.string(),
  address: z.string(),
})
const listSchema = z.object({ virtualMachines: z.array(virtualMachineSchema) })

/** A VM as it is listed. */
export type ListedMachine = z.infer<typeof virtualMachineSchema>

/** The VM list. Changes are shown after the lag. */
export class MachineListService {
  private shown: ListedMachine[] = []
  private out = false

  constructor(private lagMs = 0) {}

  start(): Promise<StandInService> {
    return startService((call) => {
      if (call.path === '/faults') {
        const faults = z.strictObject({ out: z.boolean().default(false), lagMs: z.number().min(0).optional() }).parse(JSON.parse(call.body))
        this.out = faults.out
        this.lagMs = faults.lagMs ?? this.lagMs
        return sendJson(call.response, 200, faults)
      }
      if (this.out)
        return sendJson(call.response, 503, { message: 'the list is out' })
      if (call.method === 'POST') {
        this.set(listSchema.parse(JSON.parse(call.body)).virtualMachines)
        return sendJson(call.response, 200, {})
      }
      sendJson(call.response, 200, { virtualMachines: this.shown })
    })
  }

  /** Replaces the list; shown after the lag. */
  set(machines: ListedMachine[]): void {
    if (this.lagMs === 0)
      this.shown = machines
    else
      setTimeout(() => (this.shown = machines), this.lagMs)
  }
}

const WEIGHTS_PATH = /^\/weights\/[^/]+\/([^/]+)$/

/** The weight store: every name and version but those that hold the word "absent". */
export class WeightStoreService {
  private reads: number[] = []
  private delayMs = 0

  constructor(private readonly readsPerSecond = 50) {}

  start(): Promise<StandInService> {
    return startService(async (call) => {
      if (call.path === '/faults') {
        this.delayMs = z.strictObject({ delayMs: z.number().min(0).default(0) }).parse(JSON.parse(call.body)).delayMs
        return sendJson(call.response, 200, {})
      }
      await delay(this.delayMs)
      const version = WEIGHTS_PATH.exec(call.path)?.[1]
      if (!version)
        return sendJson(call.response, 404, { message: 'no such path' })
      if (!this.takeRead())
        return sendJson(call.response, 429, { message: 'too many reads' })
      if (version.includes('absent'))
        return sendJson(call.response, 404, { message: 'no such weights' })
      sendJson(call.response, 200, { bytes: 1_000_000 })
    })
  }

  private takeRead(): boolean {
    const now = performance.now()
    this.reads = this.reads.filter(time => time > now - 1000)
    if (this.reads.length >= this.readsPerSecond)
      return false
    this.reads.push(now)
    return true
  }
}
