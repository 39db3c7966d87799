/**
 * Client of streaming routes that resumes a broken stream at another gateway, as
 * the platform's clients do.
 */
import { joinSignals, wait } from '@eidermast/common'
import { request } from 'undici'

const MILLISECONDS_PER_SECOND = 1000
/** Tries of a stream, the first one included. */
const MAX_TRIES = 4
const DEADLINE_MS = 5000
/** Pause after a connection that was refused. */
const RECONNECT_PAUSE_MS = 200
/** Connections that may be refused, which count as no tries. */
const MAX_REFUSED_CONNECTIONS = 20
const EVENT = /id: (\d+)\ndata: (\S+)\n\n/g

/** One try of a stream. */
export interface StreamTry {
  requestId: string
  /** Index of the gateway. */
  gateway: number
  /** Whether it resumes the stream after an event. */
  resumes: boolean
  /** When it was sent, in milliseconds of the test's clock. */
  startedAt: number
  /** Number of events that it brought. */
  events: number
  /** Undefined if no response arrived. */
  status: number | undefined
  /** Seconds; undefined if the response has no `Retry-After`. */
  retryAfter: number | undefined
  tookMs: number
  /** Whether no connection was made. */
  isConnectionRefused: boolean
}

/** A stream as the client received it, over all its tries. */
export interface ReceivedStream {
  /** Ids of the events in the order of their arrival. */
  eventIds: number[]
  /** Versions that wrote the events, without repetitions. */
  versions: string[]
  /** Whether the last response ended as complete. */
  complete: boolean
  tries: StreamTry[]
}

/** Options of a stream. */
export interface StreamOptions {
  /** Index of the gateway of the first try. @default the next one in turn */
  gateway?: number
  /** @default /stream/x */
  path?: string
  /** @default MAX_TRIES */
  maxTries?: number
  /** Milliseconds without an event after which a try is given up. @default DEADLINE_MS */
  maxGapMs?: number
  /** Called after each event. */
  onEvent?: (id: number) => void
  /** Called after each try, and awaited before the next one. */
  beforeRetry?: () => Promise<void> | void
}

/** One try to be made. */
interface TryOptions extends Pick<StreamTry, 'requestId' | 'gateway'>, Pick<StreamOptions, 'maxGapMs' | 'onEvent'> {
  /** Id of the try that brought the first event; undefined if there was none. */
  begunBy: string | undefined
}

/** Whether a stream holds events of more than one version. */
export function isMixed({ versions }: ReceivedStream): boolean {
  return versions.length > 1
}

/** Whether every event up to `count` arrived once and in order, and the end with them. */
export function isWhole({ complete, eventIds }: ReceivedStream, count: number): boolean {
  return complete && eventIds.length === count && eventIds.every((id, index) => id === index + 1)
}

/** Sends streams to gateways in turn. */
export class StreamClient {
  private sent = 0

  constructor(private readonly addresses: () => string[]) {}

  /** Starts a stream, and resumes it until it is complete or no try is left. */
  async stream({ gateway, path = '/stream/x', maxTries = MAX_TRIES, maxGapMs, onEvent, beforeRetry }: StreamOptions = {}): Promise<ReceivedStream> {
    const first = gateway ?? this.sent
    const received: ReceivedStream = { eventIds: [], versions: [], complete: false, tries: [] }
    let begunBy: string | undefined
    let refused = 0
    while (!received.complete && received.tries.length < maxTries) {
      const requestId = `stream-${this.sent++}`
      const addresses = this.addresses()
      const index = (first + received.tries.length + refused) % addresses.length
      const ended = await this.try(`${addresses[index]}${path}`, { requestId, gateway: index, begunBy, maxGapMs, onEvent }, received)
      if (ended.isConnectionRefused && refused++ < MAX_REFUSED_CONNECTIONS) {
        await wait(RECONNECT_PAUSE_MS)
        continue
      }
      received.tries.push(ended)
      if (received.eventIds.length > 0)
        begunBy ??= requestId
      await wait((ended.retryAfter ?? 0) * MILLISECONDS_PER_SECOND)
      await beforeRetry?.()
    }
    return received
  }

  private async try(url: string, { requestId, gateway, begunBy, maxGapMs = DEADLINE_MS, onEvent }: TryOptions, received: ReceivedStream): Promise<StreamTry> {
    const startedAt = performance.now()
    const eventsBefore = received.eventIds.length
    const resume = begunBy === undefined ? {} : { 'last-event-id': String(received.eventIds.at(-1)), 'resumes': begunBy }
    const headers = { 'host': 'host.example', 'attempt-id': requestId, 'deadline-ms': String(DEADLINE_MS), 'chunk-count': '1', 'chunk-key': 'key', ...resume }
    const ended: StreamTry = { requestId, gateway, resumes: begunBy !== undefined, startedAt, events: 0, status: undefined, retryAfter: undefined, tookMs: 0, isConnectionRefused: false }
    const silence = new AbortController()
    const silenceTimer = setTimeout(() => silence.abort(), maxGapMs)
    const noteEvent = (id: number): void => {
      silenceTimer.refresh()
      onEvent?.(id)
    }
    try {
      const { signal } = joinSignals(silence.signal, AbortSignal.timeout(DEADLINE_MS))
      const response = await request(url, { method: 'POST', headers, body: '', signal })
      ended.status = response.statusCode
      const retryAfter = response.headers['retry-after']
      ended.retryAfter = retryAfter === undefined ? undefined : Number(retryAfter)
      if (ended.status !== 200)
        await response.body.dump()
      else
        received.complete = await readEvents(response.body, received, noteEvent)
    }
    catch (error) {
      // The connection broke or was refused, or the try was given up; the result shows what arrived before.
      ended.isConnectionRefused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED'
    }
    clearTimeout(silenceTimer)
    return { ...ended, events: received.eventIds.length - eventsBefore, tookMs: performance.now() - startedAt }
  }
}

/** Reads events until the response ends; returns false if the connection breaks. */
async function readEvents(body: AsyncIterable<Buffer>, received: ReceivedStream, onEvent: (id: number) => void): Promise<boolean> {
  let text = ''
  try {
    for await (const bytes of body) {
      text += bytes.toString()
      for (const [, id, version] of text.matchAll(EVENT)) {
        received.eventIds.push(Number(id))
        if (!received.versions.includes(version))
          received.versions.push(version)
        onEvent(Number(id))
      }
      text = text.slice(text.lastIndexOf('\n\n') + 2)
    }
    return true
  }
  catch {
    return false
  }
}
