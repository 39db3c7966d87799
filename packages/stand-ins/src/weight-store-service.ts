/**
 * Stand-in of the platform's weight store: holds every model and version but
 * the versions whose name contains "absent". It keeps no state but its faults.
 */
import type { WeightStoreFaults } from './faults.js'
import type { StandInCall, StandInService } from './http-service.js'
import { wait } from '@eidermast/common'
import { weightStoreFaultsSchema } from './faults.js'
import { sendJson, startService } from './http-service.js'

const WEIGHTS_PATH = /^\/weights\/[^/]+\/([^/]+)$/

/** Size in bytes that every version has. Nothing is loaded, so any positive size serves. */
const WEIGHTS_BYTES = 1_000_000

/** The weight store's HTTP interface. */
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
