/**
 * Estimates load and times from reports, from calls of this process and from the
 * load exchange (setting `backend-speed = measured`). Keeps what was learned of a
 * backend server for as long as its `Backend` is used; it is lost with the
 * process and learned again from the next calls.
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { BackendEstimate, CallSample, FirstEventSample, LoadEstimator } from './load-estimator.js'
import type { OthersCount } from './requests-there.js'
import { DurationWindowsByKey } from '@eidermast/common'
import { BackendSpeed, ServiceTimes } from './backend-speed.js'
import { measureRatio, PromptSpeed } from './prompt-speed.js'
import { QueueLimit } from './queue-limit.js'
import { OthersThere } from './requests-there.js'

/** What other processes tell about the load. */
export interface LoadSources {
  /** Gateways that send to the backend servers; at least 1. */
  gateways: () => number
  /** Calls in flight of the other gateways to a backend server at a time on the monotonic clock; undefined if unknown. */
  others: (backend: Backend, now: number) => OthersCount | undefined
}

/** For a process that knows of no others. */
const NO_LOAD_SOURCES: LoadSources = { gateways: () => 1, others: () => undefined }

/** A report that is no older came with the response that is being handled. */
const SAME_RESPONSE_MS = 5
/** Turnover of a backend server whose speed is unknown, in milliseconds. */
const UNKNOWN_TURNOVER_MS = 100

interface BackendState {
  speed: BackendSpeed
  promptSpeed: PromptSpeed
  others: OthersThere
  queue: QueueLimit
}

/** Estimates by measured speed. */
export class MeasuredLoadEstimator implements LoadEstimator {
  private readonly states = new WeakMap<Backend, BackendState>()
  private readonly serviceTimes = new Map<string, ServiceTimes>()
  /** Measured over predicted times to the first event, by service. */
  private readonly promptRatios = new DurationWindowsByKey()

  constructor(private readonly sources: LoadSources = NO_LOAD_SOURCES, private readonly now = () => performance.now()) {}

  estimate(backend: Backend, now: number): BackendEstimate {
    const { speed, others, queue } = this.currentState(backend)
    const exchanged = this.sources.others(backend, now)
    if (exchanged)
      others.recordExchange(exchanged)
    const slots = slotsOf(backend)
    const service = this.serviceTimesOf(backend)
    const slowness = speed.slowness(now)
    const measuredMs = speed.serviceMs(service, now)
    const turnoverMs = (measuredMs ?? UNKNOWN_TURNOVER_MS) / slots
    const requests = backend.outstanding + others.estimate(turnoverMs, now)
    const isRechecked = backend.outstanding === 0 && Math.round(requests) < slots && speed.isRecheckDue(service, { slots, gateways: this.sources.gateways() }, now)
    const serviceMs = isRechecked ? Math.min(measuredMs ?? Number.POSITIVE_INFINITY, service.typicalMs ?? Number.POSITIVE_INFINITY) : measuredMs
    const waitMs = serviceMs === undefined ? undefined : Math.max(0, requests + 1 - slots) * serviceMs / slots
    return { requests, slots, serviceMs, waitMs, slowness, isFull: queue.isFull(requests, now) }
  }

  reportedSlowdown(backend: Backend, now: number): number {
    return this.currentState(backend).speed.fadingSlowness(now)
  }

  promptSlowdown(backend: Backend, now: number): number {
    const { speed, promptSpeed } = this.currentState(backend)
    return promptSpeed.slowdown(now) * speed.fadingSlowness(now)
  }

  recordFirstEvent(backend: Backend, sample: FirstEventSample): void {
    const now = this.now()
    const { speed, promptSpeed } = this.currentState(backend)
    const ratio = measureRatio(sample, speed.slowness(now) ?? 1)
    const ratios = this.promptRatios.of(backend.service)
    ratios.add(ratio)
    promptSpeed.record(ratio / ratios.median(), sample.tokens, now)
  }

  recordAnswer(backend: Backend, sample: CallSample): void {
    const now = this.now()
    this.currentState(backend).speed.recordAnswer(sample, this.serviceTimesOf(backend), now)
  }

  recordAbandoned(backend: Backend, sample: CallSample): void {
    const now = this.now()
    this.currentState(backend).speed.recordAbandoned(sample, this.serviceTimesOf(backend), now)
  }

  /** A refusal without a report means that all slots are in use, and at least as many requests wait. */
  recordRefusal(backend: Backend): void {
    const now = this.now()
    const { others, queue, speed } = this.currentState(backend)
    speed.recordRefusal(this.serviceTimesOf(backend))
    const slots = slotsOf(backend)
    const reported = backend.load ? backend.load.running + backend.load.waiting : 0
    const isReported = backend.load !== undefined && now - backend.loadAt < SAME_RESPONSE_MS
    queue.recordRefusal(isReported ? reported : this.estimate(backend, now).requests, slots, now)
    const requests = Math.max(reported, 2 * slots) - backend.outstanding
    others.recordReport({ requests: Math.max(0, requests), at: now })
  }

  private serviceTimesOf({ service }: Backend): ServiceTimes {
    const times = this.serviceTimes.get(service) ?? new ServiceTimes()
    this.serviceTimes.set(service, times)
    return times
  }

  /** The state of a backend server, with its latest report. */
  private currentState(backend: Backend): BackendState {
    const existing = this.states.get(backend)
    const state = existing ?? { speed: new BackendSpeed(), promptSpeed: new PromptSpeed(), others: new OthersThere(), queue: new QueueLimit() }
    if (!existing)
      this.states.set(backend, state)
    if (backend.load) {
      const { running, waiting, slowness } = backend.load
      state.queue.recordReport(running + waiting)
      state.others.recordReport({ requests: Math.max(0, running + waiting - backend.ownCallsInLoad), at: backend.loadAt })
      if (slowness !== undefined)
        state.speed.recordSlowness(slowness, backend.loadAt)
    }
    return state
  }
}

function slotsOf(backend: Backend): number {
  return Math.max(1, backend.load?.capacity || backend.record.capacity)
}
