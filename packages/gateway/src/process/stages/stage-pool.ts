import type { EventLog } from '@eidermast/common'
import type { Replica } from '../../connection/backend.js'
import type { StageProgress } from '../../connection/preparation.js'
import type { PieceOutcome, StageCallResult, StageClient, StagePiece } from '../../connection/stage-client.js'
import type { StageResult, StageTask } from '../../request/stages/stage-task.js'
/**
 * The replicas of one stage service and the tasks that wait for them. Pieces
 * of all requests are gathered into batches: whole tasks first, near their
 * inputs and readers where waiting for that zone costs no target.
 */
import type { StageLimits } from '../../version/configuration.js'
import type { ServicePace } from './stage-admission.js'
import { createBoundedSignal } from '@eidermast/common'
import { PieceFailure, StageCallEnd } from '../../connection/stage-client.js'
import { crossingBytes } from '../../request/stages/stage-task.js'
import { StageWorker } from './stage-backend.js'
import { compareTasks } from './stage-order.js'

/** A call is given up after its expected time times this, and a margin. */
const TIMEOUT_FACTOR = 2.5
const TIMEOUT_MARGIN_MS = 400
/** Longest that a task waits for a replica of the better zone, in milliseconds. */
const LONGEST_ZONE_WAIT_MS = 400
/** Time kept before a target when a task waits for the better zone, in milliseconds. */
const TARGET_MARGIN_MS = 150
/** Bytes to another zone that weigh as much as one millisecond of waiting. */
const CROSSING_BYTES_PER_MS = 4000
/** More than this part of a batch waiting fills calls whatever the zone. */
const PRESSED_SHARE = 0.5
const MOST_PIECE_FAILURES = 3
const BITS_PER_BYTE = 8
/** Both links and a busy replica: factor and margin over the plain time of a fetch. */
const FETCH_FACTOR = 3
const FETCH_MARGIN_MS = 80
/** Part of the speed of full batches that is reached under load. */
const BATCH_EFFICIENCY = 0.8
/** How long the calls of the owner before are reckoned with, in milliseconds. */
const OTHERS_MS = 1500
const RESULT_SIZE_WEIGHT = 0.05
const FREE_DELAY_MS = 5

interface PieceWork {
  task: TaskState
  index: number
  attempts: number
}

interface TaskState {
  task: StageTask
  waiting: PieceWork[]
  results: (StageResult | undefined)[]
  fetched: number
  ended: boolean
}

/** A task that a pool has taken. */
export interface SubmittedTask {
  /** Ends it without a report; pieces under way are freed when they are made. */
  cancel: () => void
  /** Whether every piece that is not made is at a backend server. */
  isUnderWay: () => boolean
}

/** Says whether pieces may be sent once more, and counts them. */
export interface RepeatAllowance {
  takeRepeats: (service: string, count: number) => boolean
}

/** Gathers and runs the pieces of one service. */
export class StagePool {
  private readonly workers = new Map<string, StageWorker>()
  private queue: TaskState[] = []
  private typicalResultBytes = 0
  private othersUntil = 0
  private readonly toFree = new Map<StageWorker, string[]>()

  constructor(
    readonly service: string,
    private limits: StageLimits,
    private readonly client: StageClient,
    private readonly repeats: RepeatAllowance,
    private readonly log: EventLog,
  ) {}

  setLimits(limits: StageLimits): void {
    this.limits = limits
    for (const worker of this.workers.values())
      worker.limits = limits
  }

  /** Holds exactly the replicas that take new work; results of others stay readable. */
  setReplicas(replicas: readonly Replica[]): void {
    const listed = new Set(replicas.map(replica => replica.id))
    for (const id of [...this.workers.keys()]) {
      if (!listed.has(id))
        this.workers.delete(id)
    }
    for (const replica of replicas) {
      if (!this.workers.has(replica.id))
        this.addWorker(replica)
    }
    this.dispatch()
  }

  /** Expected time of one call, in milliseconds. */
  typicalCallMs(): number {
    return this.limits.callMs + this.limits.pieceMs * this.limits.batch * 0.6
  }

  /** Pieces a call under load: results of one call are still held while the next one is made. */
  private sustainedBatch(): number {
    if (this.typicalResultBytes === 0)
      return this.limits.batch
    const held = this.limits.roomBytes / this.typicalResultBytes / 2
    return Math.max(1, Math.min(this.limits.batch, held))
  }

  get waitingPieces(): number {
    return this.queue.reduce((sum, state) => sum + state.waiting.length, 0)
  }

  /** For a while nothing is taken for fetched before its call ends: calls of others may go before. */
  expectOthers(): void {
    this.othersUntil = performance.now() + OTHERS_MS
  }

  /** Speed of the service with the replicas that can be used. */
  pace(): ServicePace {
    const workers = [...this.workers.values()]
    const speed = workers.reduce((sum, worker) => sum + 1 / worker.slownessFactor, 0)
    return { replicas: speed, pieceMs: (this.limits.callMs / this.sustainedBatch() + this.limits.pieceMs) / BATCH_EFFICIENCY, callMs: this.typicalCallMs() }
  }

  /** Takes a task and begins it as soon as a backend server suits. */
  submit(task: StageTask): SubmittedTask {
    const state: TaskState = { task, waiting: [], results: Array.from({ length: task.pieces }), fetched: 0, ended: false }
    for (let index = 0; index < task.pieces; index++)
      state.waiting.push({ task: state, index, attempts: 0 })
    this.queue.push(state)
    this.typicalResultBytes += (task.resultBytes - this.typicalResultBytes) * RESULT_SIZE_WEIGHT
    this.dispatch()
    return { cancel: () => this.cancel(state), isUnderWay: () => state.waiting.length === 0 && !state.ended }
  }

  /** Takes results of an earlier owner over; undefined where one of them cannot be used. */
  adopt(progress: StageProgress): StageResult[] | undefined {
    const now = performance.now()
    const workers = progress.results.map(result => this.workers.get(result.replica))
    if (workers.includes(undefined))
      return undefined
    return progress.results.map(({ handle, bytes, remainingMs }, index) => {
      const worker = workers[index]!
      worker.adopt(handle, bytes, remainingMs, now)
      return { handle, worker, bytes }
    })
  }

  /** Asks every backend server for the room that it has left. */
  learnRooms(): void {
    for (const worker of this.workers.values())
      this.learnRoom(worker)
  }

  /** Gives a result up. */
  free(result: StageResult): void {
    if (!result.worker.giveUp(result.handle))
      return
    const handles = this.toFree.get(result.worker)
    if (handles) {
      handles.push(result.handle)
      return
    }
    this.toFree.set(result.worker, [result.handle])
    setTimeout(() => this.flushFrees(result.worker), FREE_DELAY_MS)
  }

  /** Lets waiting tasks end that can no longer be in time, and begins what can be begun. */
  dispatch(): void {
    const now = performance.now()
    this.endLateTasks(now)
    this.endTasksWithoutInputs(now)
    for (const worker of this.workers.values())
      worker.expire(now)
    if (this.queue.length === 0)
      return
    this.queue.sort((left, right) => compareTasks(left.task, right.task))
    const idle = [...this.workers.values()].filter(worker => worker.isIdle(now))
    idle.sort((left, right) => left.callTime(1) - right.callTime(1) || right.freeBytes() - left.freeBytes())
    for (const worker of idle) {
      const batch = this.collect(worker, now)
      if (batch.length > 0)
        void this.run(worker, batch, now)
    }
  }

  private addWorker(replica: Replica): void {
    const worker = new StageWorker(replica, this.limits)
    this.workers.set(replica.id, worker)
    this.learnRoom(worker)
  }

  private learnRoom(worker: StageWorker): void {
    void this.client.freeRoom(worker.replica).then((bytes) => {
      if (bytes !== undefined)
        worker.learnRoom(bytes, performance.now())
    })
  }

  private endLateTasks(now: number): void {
    const late = this.queue.filter(state => state.waiting.length > 0 && now + this.limits.callMs > state.task.deadlineAt)
    for (const state of late)
      this.fail(state, PieceFailure.Late)
  }

  /** A call for pieces whose inputs have ended would cost its time and bring nothing. */
  private endTasksWithoutInputs(now: number): void {
    const lacking = this.queue.filter(state => state.waiting.length > 0 && state.task.inputs.some(input => !input.worker.isReadable(input.handle, now)))
    for (const state of lacking)
      this.fail(state, PieceFailure.InputGone)
  }

  /**
   * Picks the pieces of the next call of an idle replica: first the tasks that
   * do best here; where much waits, others after them, since a full batch
   * costs less than the bytes between zones.
   */
  private collect(worker: StageWorker, now: number): PieceWork[] {
    const batch: PieceWork[] = []
    this.fill(batch, worker, task => this.suits(task, worker, now))
    if (this.waitingPieces > this.limits.batch * PRESSED_SHARE)
      this.fill(batch, worker, () => true)
    this.queue = this.queue.filter(state => state.waiting.length > 0)
    return batch
  }

  /** Adds whole tasks to a batch while there are places and room; a task is split only where it begins a call. */
  private fill(batch: PieceWork[], worker: StageWorker, accepts: (task: StageTask) => boolean): void {
    for (const state of this.queue) {
      const places = this.limits.batch - batch.length
      if (places <= 0)
        return
      const room = worker.freeBytes() - batchBytes(batch)
      const fitting = Math.min(places, Math.floor(room / state.task.resultBytes), state.waiting.length)
      const whole = fitting === state.waiting.length
      if (fitting <= 0 || !(whole || batch.length === 0) || !accepts(state.task))
        continue
      batch.push(...state.waiting.splice(0, fitting))
    }
  }

  /** Whether a task should run here now rather than wait for a replica in a better zone. */
  private suits(task: StageTask, worker: StageWorker, now: number): boolean {
    const costHere = crossingBytes(task, worker.zone) / CROSSING_BYTES_PER_MS
    if (costHere < 1)
      return true
    const callMs = worker.callTime(task.pieces)
    const latest = Math.min(LONGEST_ZONE_WAIT_MS, costHere, task.targetAt - now - callMs - task.remainingMs - TARGET_MARGIN_MS)
    for (const other of this.workers.values()) {
      if (other === worker || !other.isUsable(now) || crossingBytes(task, other.zone) / CROSSING_BYTES_PER_MS >= costHere)
        continue
      if (other.startsIn(now) + other.callTime(task.pieces) - callMs < latest)
        return false
    }
    return true
  }

  private async run(worker: StageWorker, batch: PieceWork[], startedAt: number): Promise<void> {
    worker.begin(batch.length, batchBytes(batch), startedAt)
    const timeoutMs = worker.callTime(batch.length) * TIMEOUT_FACTOR + TIMEOUT_MARGIN_MS
    const fetchMs = startedAt < this.othersUntil ? undefined : this.fetchTime(batch)
    const fetchTimer = fetchMs === undefined ? undefined : setTimeout(() => this.reportFetched(batch), fetchMs)
    const timeout = createBoundedSignal(timeoutMs)
    const result = await this.client.run(worker.replica, batch.map(work => describePiece(work, startedAt)), timeout.signal)
    timeout.dispose()
    clearTimeout(fetchTimer)
    const tookMs = performance.now() - startedAt
    this.log.write('stage-call', { service: this.service, replica: worker.replica.id, replicaZone: worker.zone, pieces: batch.length, tookMs: Math.round(tookMs), expectedMs: Math.round(worker.callTime(batch.length)), end: result.end, failures: describeFailures(result), roomBytes: worker.freeBytes(), requests: [...new Set(batch.map(work => work.task.task.requestId))].join(',') })
    if (result.end === StageCallEnd.Done)
      this.take(worker, batch, result, tookMs)
    else
      this.takeFailure(worker, batch, result.end)
    this.dispatch()
  }

  /** Time after which the replica has fetched a batch's inputs, in milliseconds. */
  private fetchTime(batch: readonly PieceWork[]): number | undefined {
    const bytes = batch.reduce((sum, work) => sum + work.task.task.inputs.reduce((total, input) => total + input.bytes, 0), 0)
    if (bytes === 0 || this.limits.bandwidthMbps <= 0)
      return undefined
    return bytes * BITS_PER_BYTE / (this.limits.bandwidthMbps * 1000) * FETCH_FACTOR + FETCH_MARGIN_MS
  }

  private reportFetched(batch: readonly PieceWork[]): void {
    for (const work of batch) {
      const state = work.task
      state.fetched++
      if (state.fetched === state.task.pieces && !state.ended)
        state.task.listener.inputsFetched()
    }
  }

  private take(worker: StageWorker, batch: readonly PieceWork[], result: StageCallResult, tookMs: number): void {
    const now = performance.now()
    worker.succeed(batch.length, tookMs, result.outcomes.every(outcome => 'handle' in outcome))
    this.returnRooms(worker, batch, result)
    if (result.outcomes.some(outcome => 'failure' in outcome && outcome.failure === PieceFailure.NoRoom))
      worker.pauseForRoom(now)
    batch.forEach((work, position) => this.takeOutcome(worker, work, result.outcomes[position], now))
  }

  /** What was not made takes no room. */
  private returnRooms(worker: StageWorker, batch: readonly PieceWork[], result: StageCallResult): void {
    batch.forEach((work, position) => {
      if ('failure' in result.outcomes[position])
        worker.returnRoom(work.task.task.resultBytes)
    })
  }

  private takeOutcome(worker: StageWorker, work: PieceWork, outcome: PieceOutcome, now: number): void {
    const { task } = work.task
    if ('failure' in outcome) {
      this.takePieceFailure(work, outcome.failure)
      return
    }
    worker.hold(outcome.handle, task.resultBytes, now)
    const stageResult = { handle: outcome.handle, worker, bytes: task.resultBytes }
    if (work.task.ended) {
      this.free(stageResult)
      return
    }
    work.task.results[work.index] = stageResult
    if (work.task.results.every(entry => entry !== undefined))
      this.complete(work.task)
  }

  private takePieceFailure(work: PieceWork, failure: PieceFailure): void {
    if (work.task.ended)
      return
    if (failure === PieceFailure.Late || failure === PieceFailure.InputGone)
      this.fail(work.task, failure)
    else
      this.retry([work])
  }

  private takeFailure(worker: StageWorker, batch: readonly PieceWork[], end: StageCallEnd): void {
    const pauseMs = worker.fail(performance.now())
    const bytes = batchBytes(batch)
    if (end === StageCallEnd.Broken)
      worker.holdLostCall(bytes, performance.now())
    else
      worker.returnRoom(bytes)
    this.log.write('stage-replica-paused', { service: this.service, replica: worker.replica.id, reason: end, milliseconds: pauseMs })
    setTimeout(() => this.dispatch(), pauseMs)
    if (end === StageCallEnd.NotSent)
      this.putBack(batch)
    else
      this.retry(batch)
  }

  /** Sends pieces once more, within the budget. */
  private retry(batch: readonly PieceWork[]): void {
    const live = batch.filter(work => !work.task.ended)
    for (const work of live) {
      work.attempts++
      if (work.attempts >= MOST_PIECE_FAILURES || !this.repeats.takeRepeats(this.service, 1))
        this.fail(work.task, PieceFailure.Error)
    }
    this.putBack(live)
  }

  private putBack(batch: readonly PieceWork[]): void {
    for (const work of batch) {
      const state = work.task
      if (state.ended)
        continue
      state.waiting.push(work)
      state.fetched = Number.NEGATIVE_INFINITY
      if (!this.queue.includes(state))
        this.queue.push(state)
    }
  }

  private cancel(state: TaskState): void {
    if (state.ended)
      return
    this.end(state)
  }

  private complete(state: TaskState): void {
    state.ended = true
    state.task.listener.completed(state.results as StageResult[])
  }

  private fail(state: TaskState, failure: PieceFailure): void {
    this.end(state)
    state.task.listener.failed(failure)
  }

  private end(state: TaskState): void {
    state.ended = true
    this.queue = this.queue.filter(other => other !== state)
    for (const result of state.results) {
      if (result)
        this.free(result)
    }
  }

  private flushFrees(worker: StageWorker): void {
    const handles = this.toFree.get(worker) ?? []
    this.toFree.delete(worker)
    void this.client.free(worker.replica, handles).then((freed) => {
      if (!freed)
        return
      handles.forEach(handle => worker.drop(handle))
      this.dispatch()
    })
  }
}

/** Room that the results of a batch take, in bytes. */
function batchBytes(batch: readonly PieceWork[]): number {
  return batch.reduce((sum, work) => sum + work.task.task.resultBytes, 0)
}

function describePiece(work: PieceWork, now: number): StagePiece {
  const { task } = work.task
  return {
    requestId: task.requestId,
    stage: task.stage,
    index: work.index,
    remainingMs: Math.max(1, Math.round(task.deadlineAt - now)),
    key: task.key,
    inputs: task.inputs.length > 0 ? task.inputs.map(input => input.handle) : undefined,
  }
}

/** Failures of a call's pieces by kind, such as `no-room:2`; undefined where there were none. */
function describeFailures(result: StageCallResult): string | undefined {
  const counts = new Map<PieceFailure, number>()
  for (const outcome of result.outcomes) {
    if ('failure' in outcome)
      counts.set(outcome.failure, (counts.get(outcome.failure) ?? 0) + 1)
  }
  return counts.size === 0 ? undefined : [...counts].map(([kind, count]) => `${kind}:${count}`).join(',')
}
