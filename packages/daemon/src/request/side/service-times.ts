/**
 * Recent service times of calls to a side's backend server. State: in memory; a
 * restarted side has no samples and expects 0.
 */
import type { StageCall } from '../../connection/messages.js'
import { DurationWindowsByKey } from '@eidermast/common'

/** Key for the times of all calls; cannot collide with the key of a call. */
const ALL_CALLS = ''

/** Recent service times of one side, in milliseconds. */
export class ServiceTimes {
  private readonly times = new DurationWindowsByKey()

  /** Adds the service time of a successful call. */
  add(call: StageCall, serviceMs: number): void {
    this.times.of(timesKey(call)).add(serviceMs)
    this.times.of(ALL_CALLS).add(serviceMs)
  }

  /** Median of calls with the same stage, model and token limit; 0 if there are none. */
  expectedMs(call: StageCall): number {
    return this.times.of(timesKey(call)).median()
  }

  /** Mean of all calls; 0 if there are none. */
  meanMs(): number {
    return this.times.of(ALL_CALLS).mean()
  }
}

function timesKey(call: StageCall): string {
  return `${call.identity.stage}/${call.model ?? ''}/${call.maxTokens}`
}
