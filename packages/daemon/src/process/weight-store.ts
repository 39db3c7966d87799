/**
 * The platform's rate-limited weight store. A side asks it whether weights
 * exist before it orders an engine to load them.
 */
import { callJson } from '../connection/json-http.js'

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

const NOT_FOUND = 404

/** The weight store over HTTP. */
export class HttpWeightStore implements WeightStore {
  constructor(private readonly url: string, private readonly timeoutMs = 1000) {}

  async find(model: string, version: string): Promise<WeightState> {
    const path = `${encodeURIComponent(model)}/${encodeURIComponent(version)}`
    const answer = await callJson({ method: 'GET', url: `${this.url}/weights/${path}`, timeoutMs: this.timeoutMs })
    if (answer.isOk())
      return WeightState.Present
    return answer.error.status === NOT_FOUND ? WeightState.Absent : WeightState.Unknown
  }
}
