/**
 * A pool of stand-in backend servers that crash when they execute a request with
 * a certain body. A crashed one is replaced after some time under a new id, and
 * its entry expires later, as on the platform.
 */
import type { ReceivedRequest } from './stand-in-backend.js'
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
  /** Requests with the crashing body that backend servers received. */
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
    const { service, workMs } = this.options
    const backend = new StandInBackend(`${service}-${this.started++}`, service)
    backend.respond = async (seen, response) => {
      if (seen.body === CRASHING_BODY)
        this.crashingRequests.push(seen)
      await wait(workMs)
      if (seen.body === CRASHING_BODY)
        return this.crash(backend, seen.path)
      await answerCompletely()(seen, response)
    }
    await backend.start()
    this.running.add(backend)
    this.store.put(SERVER_TOPIC, backend.id, backend.entry())
  }

  /** Returns the crashing requests with this path that were received more than `afterThirdMs` after the third crash by such a request. */
  receivedAfterThirdCrash(afterThirdMs: number, path: string): ReceivedRequest[] {
    const third = this.crashes.filter(crash => crash.path === path)[2]
    return third ? this.crashingRequests.filter(request => request.path === path && request.at > third.at + afterThirdMs) : []
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
