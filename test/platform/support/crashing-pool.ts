/**
 * A pool of stand-in backend servers, each of which crashes when it runs a
 * request with a certain body. As on the platform, it is replaced after some time
 * under a new id, and its old entry expires later.
 */
import type { SeenRequest } from './stand-in-backend.js'
import type { StandInStore } from './stand-in-store.js'
import { wait } from '@eidermast/common'
import { answerWhole, StandInBackend } from './stand-in-backend.js'

/** The body that crashes every backend server that runs it. */
export const CRASHING_BODY = 'crash'

const SERVER_TOPIC = 'keyed.servers'
/** Milliseconds from the end of a backend server until its replacement serves. */
const RESTART_MS = 2000
/** Milliseconds until the entry of a crashed backend server expires: three heartbeats of the platform. */
const ENTRY_EXPIRY_MS = 3600

/** What differs between pools. */
export interface CrashingPoolOptions {
  service: string
  size: number
  /** Milliseconds until a response or a crash. */
  workMs: number
}

/** The end of a backend server. */
export interface BackendEnd {
  /** Milliseconds of the test's clock. */
  at: number
  /** Path of the request that crashed it; undefined if none did. */
  path?: string
}

/** Backend servers of one service that crash and are replaced. */
export class CrashingPool {
  readonly ends: BackendEnd[] = []
  /** Requests with the crashing body that reached backend servers. */
  readonly crashingSeen: SeenRequest[] = []
  private readonly alive = new Set<StandInBackend>()
  private readonly replacements = new Set<Promise<void>>()
  private started = 0
  private stopped = false

  constructor(private readonly store: StandInStore, private readonly options: CrashingPoolOptions) {}

  async start(): Promise<void> {
    for (let index = 0; index < this.options.size; index++)
      await this.startOne()
  }

  async stop(): Promise<void> {
    this.stopped = true
    await Promise.all(this.replacements)
    await Promise.all([...this.alive].map(backend => backend.stop()))
  }

  /** Ends several backend servers together without a request as the cause. */
  endSome(count: number): void {
    for (const backend of [...this.alive].slice(0, count))
      this.end(backend)
  }

  private async startOne(): Promise<void> {
    const { service, workMs } = this.options
    const backend = new StandInBackend(`${service}-${this.started++}`, service)
    backend.respond = async (seen, response) => {
      if (seen.body === CRASHING_BODY)
        this.crashingSeen.push(seen)
      await wait(workMs)
      if (seen.body === CRASHING_BODY)
        return this.end(backend, seen.path)
      await answerWhole()(seen, response)
    }
    await backend.start()
    this.alive.add(backend)
    this.store.put(SERVER_TOPIC, backend.id, backend.entry())
  }

  /** Crashing requests with this path that arrived more than `afterThirdMs` after the third crash by one. */
  sentLaterThan(afterThirdMs: number, path: string): SeenRequest[] {
    const third = this.ends.filter(end => end.path === path)[2]
    return third ? this.crashingSeen.filter(seen => seen.path === path && seen.at > third.at + afterThirdMs) : []
  }

  private end(backend: StandInBackend, path?: string): void {
    if (!this.alive.delete(backend))
      return
    this.ends.push({ at: performance.now(), path })
    const replaced = this.replace(backend).finally(() => this.replacements.delete(replaced))
    this.replacements.add(replaced)
  }

  private async replace(backend: StandInBackend): Promise<void> {
    await backend.stop()
    if (this.stopped)
      return
    await wait(RESTART_MS)
    if (!this.stopped)
      await this.startOne()
    await wait(ENTRY_EXPIRY_MS - RESTART_MS)
    this.store.put(SERVER_TOPIC, backend.id, undefined)
  }
}
