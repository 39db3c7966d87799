/**
 * Client of the platform's rate-limited weight store. A side checks that weights
 * exist before it orders an engine to load them. Stateless: every order checks
 * again.
 */
import { createLogger } from '@eidermast/common'
import { callJson } from '../../connection/json-http.js'

const log = createLogger('placement')

/** Whether weights exist in the weight store. */
export enum WeightState {
  Present = 'present',
  Absent = 'absent',
  /** The store is unavailable or its rate limit is exceeded. */
  Unknown = 'unknown',
}

export interface WeightStore {
  find: (model: string, version: string) => Promise<WeightState>
}

/** HTTP status of the store for weights that do not exist. */
const NOT_FOUND = 404

/**
 * Leaves time for a store near its rate limit, whose responses are slow; an outage
 * of the store delays an order by this time.
 */
const FIND_TIMEOUT_MS = 1000

/** Queries the weight store over HTTP. */
export class HttpWeightStore implements WeightStore {
  constructor(private readonly url: string, private readonly timeoutMs = FIND_TIMEOUT_MS) {}

  async find(model: string, version: string): Promise<WeightState> {
    const path = `${encodeURIComponent(model)}/${encodeURIComponent(version)}`
    const response = await callJson({ method: 'GET', url: `${this.url}/weights/${path}`, timeoutMs: this.timeoutMs })
    if (response.isOk())
      return WeightState.Present
    if (response.error.status === NOT_FOUND)
      return WeightState.Absent
    log('weight-store-unreadable', { model, version, error: response.error.message })
    return WeightState.Unknown
  }
}
