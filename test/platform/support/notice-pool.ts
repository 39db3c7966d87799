/**
 * A pool of stand-in backend servers whose answers carry notices of what they take:
 * each adds headers of the test's choice, and turns requests away. Every request
 * is kept with the gateway that sent it and the answer that it got.
 */
import type { ReceivedRequest, RequestHandler } from './stand-in-backend.js'
import type { StandInStore } from './stand-in-store.js'
import { wait } from '@eidermast/common'
import { answerCompletely, StandInBackend } from './stand-in-backend.js'

const SERVER_TOPIC = 'keyed.servers'
const REPORT_PATH = '/-/report'
/** Separates the name of a gateway from the rest of a request's id. */
const NAME_END = '~'

/** The id of a request that shows which gateway its client sent it to. */
export function requestIdAt(gateway: string, number: number): string {
  return `${gateway}${NAME_END}${number}`
}

/** The gateway that the id of a request names. */
function senderById(seen: ReceivedRequest): string {
  return String(seen.headers['attempt-id']).split(NAME_END)[0]
}

/** What a backend server says in an answer. */
export interface Notice {
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

/** A time in which a backend server said the same in all its answers. */
export interface NoticePeriod {
  notice: Notice
  /** Milliseconds of the test's clock. */
  from: number
  to: number
  /** When each gateway was first answered so, in milliseconds of the test's clock. */
  toldAt: Map<string, number>
}

/** How a backend server is wrapped. */
export interface NoticeBackendOptions {
  /** Milliseconds of work before an answer. @default 0 */
  workMs?: number
  /** @default answerCompletely */
  respond?: RequestHandler
  /** The gateway that sent a request. @default by the request's id, see `requestIdAt` */
  senderOf?: (seen: ReceivedRequest) => string
}

/** One backend server whose answers carry a notice. */
export class NoticeBackend {
  readonly arrivals: Arrival[] = []
  /** Requests that were turned away, at the time of the answer. */
  readonly turnedAwayAt: Arrival[] = []
  readonly periods: NoticePeriod[] = []
  /** Its answers to requests, but not to reports, wait until this is resolved. @default none wait */
  heldUntil: Promise<void> | undefined

  constructor(readonly stand: StandInBackend, { workMs = 0, respond = answerCompletely(), senderOf = senderById }: NoticeBackendOptions = {}) {
    stand.respond = async (seen, response) => {
      const arrival = { gateway: senderOf(seen), requestId: String(seen.headers['attempt-id']), path: seen.path, at: seen.at }
      this.arrivals.push(arrival)
      await wait(workMs)
      if (seen.path !== REPORT_PATH)
        await this.heldUntil
      const notice = this.tell(arrival.gateway)
      for (const [name, value] of Object.entries(notice?.headers ?? {}))
        response.setHeader(name, value)
      if (!notice?.turnsAway || seen.path === REPORT_PATH)
        return respond(seen, response)
      this.turnedAwayAt.push({ ...arrival, at: performance.now() })
      response.writeHead(503, { 'Attempt-Id': arrival.requestId, 'Not-Executed': '1' })
      response.end()
    }
  }

  /** What it says in its answers from now on. */
  set notice(notice: Notice | undefined) {
    const now = performance.now()
    const current = this.periods.at(-1)
    if (current)
      current.to = Math.min(current.to, now)
    if (notice)
      this.periods.push({ notice, from: now, to: Number.POSITIVE_INFINITY, toldAt: new Map() })
  }

  get notice(): Notice | undefined {
    const current = this.periods.at(-1)
    return current?.to === Number.POSITIVE_INFINITY ? current.notice : undefined
  }

  /** When each gateway was first answered with the newest notice, in milliseconds of the test's clock. */
  get toldAt(): ReadonlyMap<string, number> {
    return this.periods.at(-1)?.toldAt ?? new Map()
  }

  /** Requests, later than `fromAt`, of gateways that had been told this long before, in milliseconds. */
  arrivalsOfTold(toldBeforeMs: number, fromAt: number): Arrival[] {
    return this.arrivals.filter(({ gateway, at }) => at >= fromAt && at >= (this.toldAt.get(gateway) ?? Number.POSITIVE_INFINITY) + toldBeforeMs)
  }

  /** Notes that a gateway is answered with what is said now. */
  private tell(gateway: string): Notice | undefined {
    const { notice } = this
    const told = this.periods.at(-1)?.toldAt
    if (notice && told && !told.has(gateway))
      told.set(gateway, performance.now())
    return notice
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
export interface NoticePoolOptions {
  service: string
  size: number
  /** Milliseconds of work before an answer. */
  workMs: number
  /** @default answerCompletely */
  respond?: RequestHandler
}

/** Starts backend servers of a service and lists them in the store. */
export async function startNoticePool(store: StandInStore, { service, size, workMs, respond }: NoticePoolOptions): Promise<NoticeBackend[]> {
  return Promise.all(Array.from({ length: size }, async (_, index) => {
    const stand = new StandInBackend(`${service}-${index}`, service)
    await stand.start()
    store.put(SERVER_TOPIC, stand.id, stand.entry())
    return new NoticeBackend(stand, { workMs, respond })
  }))
}
