/**
 * A pool of stand-in backend servers that say in their answers what they take:
 * each adds headers of the test's choice, and turns requests away. Every request
 * is kept with the gateway that sent it and the answer that it got.
 */
import type { Respond, SeenRequest } from './stand-in-backend.js'
import type { StandInStore } from './stand-in-store.js'
import { wait } from '@eidermast/common'
import { answerWhole, StandInBackend } from './stand-in-backend.js'

const SERVER_TOPIC = 'keyed.servers'
/** Separates the name of a gateway from the rest of a request's id. */
const NAME_END = '~'

/** The id of a request that shows which gateway its client sent it to. */
export function requestIdAt(gateway: string, number: number): string {
  return `${gateway}${NAME_END}${number}`
}

/** What a backend server says in an answer. */
export interface Speech {
  /** Headers beside the usual ones. */
  headers: Record<string, string>
  /** The request is turned away, as not run. @default false */
  turnsAway?: boolean
}

/** A request as a backend server got it. */
export interface Arrival {
  gateway: string
  requestId: string
  path: string
  /** Milliseconds of the test's clock. */
  at: number
}

/** One backend server that speaks. */
export class SpokenBackend {
  readonly arrivals: Arrival[] = []
  /** When each gateway was first answered with a speech, in milliseconds of the test's clock. */
  readonly toldAt = new Map<string, number>()
  /** Requests that were turned away, at the time of the answer. */
  readonly turnedAwayAt: Arrival[] = []
  speech: Speech | undefined

  constructor(readonly stand: StandInBackend, workMs: number, respond: Respond = answerWhole()) {
    stand.respond = async (seen, response) => {
      const arrival = this.noteArrival(seen)
      const { gateway } = arrival
      await wait(workMs)
      for (const [name, value] of Object.entries(this.speech?.headers ?? {}))
        response.setHeader(name, value)
      if (this.speech && !this.toldAt.has(gateway))
        this.toldAt.set(gateway, performance.now())
      if (!this.speech?.turnsAway)
        return respond(seen, response)
      this.turnedAwayAt.push({ ...arrival, at: performance.now() })
      response.writeHead(503, { 'Attempt-Id': String(seen.headers['attempt-id']), 'Not-Executed': '1' })
      response.end()
    }
  }

  /** Requests, later than `fromAt`, of gateways that had been told this long before, in milliseconds. */
  arrivalsOfTold(toldBeforeMs: number, fromAt: number): Arrival[] {
    return this.arrivals.filter(({ gateway, at }) => at >= fromAt && at >= (this.toldAt.get(gateway) ?? Number.POSITIVE_INFINITY) + toldBeforeMs)
  }

  private noteArrival(seen: SeenRequest): Arrival {
    const requestId = String(seen.headers['attempt-id'])
    const [gateway] = requestId.split(NAME_END)
    const arrival = { gateway, requestId, path: seen.path, at: seen.at }
    this.arrivals.push(arrival)
    return arrival
  }
}

/** The most arrivals in any span of some milliseconds. */
export function mostWithin(arrivals: readonly Arrival[], spanMs: number): number {
  const times = arrivals.map(({ at }) => at).toSorted((left, right) => left - right)
  let first = 0
  return times.reduce((most, at, index) => {
    while (at - times[first] > spanMs)
      first++
    return Math.max(most, index - first + 1)
  }, 0)
}

/** What differs between pools. */
export interface SpokenPoolOptions {
  service: string
  size: number
  /** Milliseconds of work before an answer. */
  workMs: number
  /** @default answerWhole */
  respond?: Respond
}

/** Starts backend servers of a service and lists them in the store. */
export async function startSpokenPool(store: StandInStore, { service, size, workMs, respond }: SpokenPoolOptions): Promise<SpokenBackend[]> {
  return Promise.all(Array.from({ length: size }, async (_, index) => {
    const stand = new StandInBackend(`${service}-${index}`, service)
    await stand.start()
    store.put(SERVER_TOPIC, stand.id, stand.entry())
    return new SpokenBackend(stand, workMs, respond)
  }))
}
