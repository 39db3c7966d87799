/**
 * The stage service of tests: its limits as the operator's configuration has
 * them, and a backend server that makes a result for each item.
 */
import type { Respond } from './stand-in-backend.js'
import { wait } from '@eidermast/common'

/** Limits of the stage service, in the platform's words. */
export const STAGE_LIMITS = { Capacity: 1, Queue: 2, Batch: 6, CallMs: 40, ItemMs: 5, HeadroomMb: 5, HandleTtlS: 4, BandwidthMbps: 10_000 }

/** Milliseconds that a call takes. */
const CALL_MS = 60

/** Makes a result for each item, with handles that no other call has; reports free memory. */
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
