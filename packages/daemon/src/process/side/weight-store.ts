/**
 * The platform's rate-limited weight store. A side asks it whether weights
 * exist before it orders an engine to load them. Keeps no state: each order
 * asks again.
 */
import { createLogger } from '@eidermast/common'
import { callJson } from '../../connection/json-http.js'

const log = createLogger('placement')

/** What the weight store says of weights. */
export enum WeightState {
  Present = 'present',
  Absent = 'absent',
  /** The store is out or over its rate. */
  Unknown = 'unknown',
}

/** A client of the weight store. */
export interface WeightStore {
  find: (model: string, version: string) => Promise<WeightState>
}

/** Status by which the store says that it has no such weights. */
const NOT_FOUND = 404

/**
 * Milliseconds for one question. Half may fail at a store near its rate, twice
 * delays an order by a second more when the store is out.
 */
const FIND_TIMEOUT_MS = 1000

/** The weight store over HTTP. */
export class HttpWeightStore implements WeightStore {
  constructor(private readonly url: string, private readonly timeoutMs = FIND_TIMEOUT_MS) {}

  async find(model: string, version: string): Promise<WeightState> {
    const path = `${encodeURIComponent(model)}/${encodeURIComponent(version)}`
    const answer = await callJson({ method: 'GET', url: `${this.url}/weights/${path}`, timeoutMs: this.timeoutMs })
    if (answer.isOk())
      return WeightState.Present
    if (answer.error.status === NOT_FOUND)
      return WeightState.Absent
    log('weight-store-unreadable', { model, version, error: answer.error.message })
    return WeightState.Unknown
  }
}
