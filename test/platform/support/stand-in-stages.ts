/**
 * The stage service of tests: its limits as in the operator's configuration, and
 * the responses of a backend server that creates a result for each item.
 */
import type { Respond } from './stand-in-backend.js'
import { wait } from '@eidermast/common'

/** Limits of the stage service, in the platform's format. */
export const STAGE_LIMITS = { Capacity: 1, Queue: 2, Batch: 6, CallMs: 40, ItemMs: 5, HeadroomMb: 5, HandleTtlS: 4, BandwidthMbps: 10_000 }

/** Duration of a call. */
const CALL_MS = 60

/** Creates a result for each item, with a unique handle; reports free memory to all other requests. */
export function makeStageResults(): Respond {
  let made = 0
  return async (seen, response) => {
    if (seen.path !== '/-/stage-run')
      return void response.end(JSON.stringify({ FreeMb: STAGE_LIMITS.HeadroomMb }))
    await wait(CALL_MS)
    const items = (JSON.parse(seen.body) as { Items: unknown[] }).Items
    response.end(JSON.stringify({ Items: items.map(() => ({ PromptHandle: `encoder/${made++}` })) }))
  }
}
