/**
 * Stand-in for the platform's weight store: has the weights of every model and
 * version, except versions whose name contains "absent". Its only state is its
 * faults.
 */
import type { WeightStoreFaults } from './faults.js'
import type { StandInCall, StandInService } from './http-service.js'
import { wait } from '@eidermast/common'
import { weightStoreFaultsSchema } from './faults.js'
import { sendJson, startService } from './http-service.js'

const WEIGHTS_PATH = /^\/weights\/[^/]+\/([^/]+)$/

/** Reported size of every version. No weights are loaded, so any positive value works. */
const WEIGHTS_BYTES = 1_000_000

/** HTTP interface of the weight store. */
export class WeightStoreService {
  private faults: WeightStoreFaults = weightStoreFaultsSchema.parse({})

  start(): Promise<StandInService> {
    return startService(call => this.handle(call))
  }

  private async handle(call: StandInCall): Promise<void> {
    if (call.path === '/faults') {
      this.faults = weightStoreFaultsSchema.parse(JSON.parse(call.body))
      return sendJson(call.response, 200, this.faults)
    }
    await wait(this.faults.delayMs)
    const version = WEIGHTS_PATH.exec(call.path)?.[1]
    if (!version)
      return sendJson(call.response, 404, { message: 'no such path' })
    if (version.includes('absent'))
      return sendJson(call.response, 404, { message: 'no such weights' })
    sendJson(call.response, 200, { bytes: WEIGHTS_BYTES })
  }
}
