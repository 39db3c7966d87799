/**
 * A pool of stand-in backend servers that crash when they execute certain
 * requests. A crashed one is replaced after some time under a new id, and
 * its entry expires later, as on the platform.
 */
import type { ReceivedRequest, RequestHandler } from './stand-in-backend.js'
import type { StandInStore } from './stand-in-store.js'
import { wait } from '@eidermast/common'
import { answerCompletely, StandInBackend } from './stand-in-backend.js'

/** Request body that crashes every backend server that executes it. */
export const CRASHING_BODY = 'crash'

const SERVER_TOPIC = 'keyed.servers'
/** Time from a crash until the replacement is available. */
const RESTART_MS = 2000
/** Time from a crash until the entry expires: three heartbeat intervals of the platform. */
const ENTRY_EXPIRY_MS = 3600

export interface CrashingPoolOptions {
  service: string
  size: number
  /** Processing time before a response or a crash. */
  workMs: number
  /** Which requests crash the backend server that executes them. @default those with the body CRASHING_BODY */
  isFatal?: (request: ReceivedRequest) => boolean
  /** How other requests are answered. @default completely */
  answer?: RequestHandler
  /** What a backend server sends before it crashes. @default nothing */
  beforeCrash?: RequestHandler
}

/** A crash of a backend server. */
export interface BackendCrash {
  /** Monotonic time in milliseconds. */
  at: number
  /** Path of the request that caused the crash; absent if none did. */
  path?: string
}

/** Backend servers of one service that crash and are replaced. */
export class CrashingPool {
  readonly crashes: BackendCrash[] = []
  /** Fatal requests that backend servers received. */
  readonly crashingRequests: ReceivedRequest[] = []
  private readonly running = new Set<StandInBackend>()
  private readonly replacements = new Set<Promise<void>>()
  private started = 0
  private stopped = false

  constructor(private readonly store: StandInStore, private readonly options: CrashingPoolOptions) {}

  async start(): Promise<void> {
    for (let index = 0; index < this.options.size; index++)
      await this.startBackend()
  }

  async stop(): Promise<void> {
    this.stopped = true
    await Promise.all(this.replacements)
    await Promise.all([...this.running].map(backend => backend.stop()))
  }

  /** Crashes several backend servers at once without a request as the cause. */
  crashSome(count: number): void {
    for (const backend of [...this.running].slice(0, count))
      this.crash(backend)
  }

  private async startBackend(): Promise<void> {
    const { service, workMs, isFatal = ({ body }) => body === CRASHING_BODY, answer = answerCompletely(), beforeCrash } = this.options
    const backend = new StandInBackend(`${service}-${this.started++}`, service)
    backend.respond = async (seen, response) => {
      const crashes = isFatal(seen)
      if (crashes)
        this.crashingRequests.push(seen)
      await wait(workMs)
      if (!crashes)
        return answer(seen, response)
      await beforeCrash?.(seen, response)
      this.crash(backend, seen.path)
    }
    await backend.start()
    this.running.add(backend)
    this.store.put(SERVER_TOPIC, backend.id, backend.entry())
  }

  /** Returns the fatal requests with this path that were received more than `afterMs` after the crash by them with this number, counted from 1. */
  receivedAfterCrash(number: number, afterMs: number, path: string): ReceivedRequest[] {
    const crash = this.crashes.filter(each => each.path === path).at(number - 1)
    return crash ? this.crashingRequests.filter(request => request.path === path && request.at > crash.at + afterMs) : []
  }

  private crash(backend: StandInBackend, path?: string): void {
    if (!this.running.delete(backend))
      return
    this.crashes.push({ at: performance.now(), path })
    const replacement = this.replace(backend).finally(() => this.replacements.delete(replacement))
    this.replacements.add(replacement)
  }

  private async replace(backend: StandInBackend): Promise<void> {
    await backend.stop()
    if (this.stopped)
      return
    await wait(RESTART_MS)
    if (!this.stopped)
      await this.startBackend()
    await wait(ENTRY_EXPIRY_MS - RESTART_MS)
    this.store.put(SERVER_TOPIC, backend.id, undefined)
  }
}
