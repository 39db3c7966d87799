/**
 * How long calls take at a side's backend server, from its own newest calls.
 * State: in memory; a restarted side knows none and expects 0.
 */
import type { StageCall } from '../../connection/messages.js'
import { RecentTimesByKey } from '@eidermast/common'

/** Key of the times of all calls together; no call has it. */
const ALL_CALLS = ''

/** Recent service times of one side, in milliseconds. */
export class ServiceTimes {
  private readonly times = new RecentTimesByKey()

  /** Adds a call that ended well. */
  add(call: StageCall, serviceMs: number): void {
    this.times.of(timesKey(call)).add(serviceMs)
    this.times.of(ALL_CALLS).add(serviceMs)
  }

  /** Median of like calls; 0 where none ran. */
  expectedMs(call: StageCall): number {
    return this.times.of(timesKey(call)).median()
  }

  /** Mean of all calls; 0 where none ran. */
  meanMs(): number {
    return this.times.of(ALL_CALLS).mean()
  }
}

function timesKey(call: StageCall): string {
  return `${call.identity.stage}/${call.model ?? ''}/${call.maxTokens}`
}
