/**
 * Stage service for tests: its limits in the operator's configuration, and a
 * request handler that returns a result for each item.
 */
import type { RequestHandler } from './stand-in-backend.js'
import { wait } from '@eidermast/common'

/** Limits of the stage service, in the platform's format. */
export const STAGE_LIMITS = { Capacity: 1, Queue: 2, Batch: 6, CallMs: 40, ItemMs: 5, HeadroomMb: 5, HandleTtlS: 4, BandwidthMbps: 10_000 }

const CALL_MS = 60

/** Creates a handler that returns a result with a unique handle for each item, and reports free memory. */
export function makeStageResults(): RequestHandler {
  let made = 0
  return async (seen, response) => {
    if (seen.path !== '/-/stage-run')
      return void response.end(JSON.stringify({ FreeMb: STAGE_LIMITS.HeadroomMb }))
    await wait(CALL_MS)
    const items = (JSON.parse(seen.body) as { Items: unknown[] }).Items
    response.end(JSON.stringify({ Items: items.map(() => ({ PromptHandle: `encoder/${made++}` })) }))
  }
}
