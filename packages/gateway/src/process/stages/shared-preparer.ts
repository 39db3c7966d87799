/**
 * Runs the stage work of this gateway's requests at the coordinator, which is
 * this process or another one. If the coordinator fails, the next one restarts
 * the work; the failed one, if it is still running, frees its results when its
 * caller disconnects. A call whose connection was lost is made again, and joins
 * the work that the coordinator goes on with. A coordinator that stops hands its results over to the next
 * one through this module. Owns the mapping from each request to the coordinator
 * that holds its results until they are released, and the releases that wait for
 * their batch; relies on the membership for the current coordinator. When the
 * process exits, coordinators see their callers disconnect, and results whose
 * release is lost expire.
 */
import type { EventLog } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { Member } from '../../connection/peers/member.js'
import type { PeerClients } from '../../connection/peers/peer-clients.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs, Preparer } from '../../connection/peers/preparation.js'
import type { StageShard } from '../../connection/peers/stage-shard.js'
import type { Members } from '../membership/members.js'
import type { ShardChoice } from './shard-choice.js'
import { formatError, joinSignals } from '@eidermast/common'
import { Err } from 'ts-results-es'
import { PreparationFailureKind } from '../../connection/peers/preparation.js'
import { ConnectionLostError } from '../membership/failure-watches.js'
import { isCoordinatorFailure } from './coordinator-failure.js'
import { UNSHARDED } from './shard-choice.js'

/**
 * Calls to coordinators per request. Allows two coordinators to fail one after the
 * other; limits how long a client waits if no coordinator can serve it.
 */
const MAX_COORDINATOR_CALLS = 4
/** Retry delay for clients when no coordinator answered. Limits the rate of retries while gateways restart. */
const RETRY_AFTER_MS = 1000
/**
 * Milliseconds that a release waits to share a call with others. Saves calls, at
 * the cost of result memory that stays in use meanwhile.
 */
const RELEASE_DELAY_MS = 20

type Preparation = Result<PreparedInputs, PreparationFailure>

/** Calls the coordinators of the stage work. */
export class SharedPreparer implements Preparer {
  private readonly coordinatorByRequest = new Map<string, Member>()
  /** Ids of requests to release, by address of the coordinator. */
  private readonly pendingReleases = new Map<string, string[]>()

  constructor(
    private readonly members: Members,
    private readonly local: Preparer,
    private readonly peers: Pick<PeerClients, 'prepare' | 'release'>,
    private readonly log: EventLog,
    private readonly shards: ShardChoice = UNSHARDED,
  ) {}

  async prepare(request: PreparationRequest, signal: AbortSignal): Promise<Preparation> {
    const result = await this.prepareInShards(request, signal)
    if (result.isErr())
      this.coordinatorByRequest.delete(request.requestId)
    return result
  }

  release(requestId: string): void {
    const coordinator = this.coordinatorByRequest.get(requestId)
    this.coordinatorByRequest.delete(requestId)
    if (!coordinator)
      return
    if (coordinator.name === this.members.self.name)
      this.local.release(requestId)
    else
      this.scheduleRelease(coordinator, requestId)
  }

  private scheduleRelease(coordinator: Member, requestId: string): void {
    const ids = this.pendingReleases.get(coordinator.address)
    if (ids) {
      ids.push(requestId)
      return
    }
    const batch = [requestId]
    this.pendingReleases.set(coordinator.address, batch)
    setTimeout(() => {
      this.pendingReleases.delete(coordinator.address)
      // A failure is harmless: results that are not released expire at their backend servers.
      void this.peers.release(coordinator, batch).catch(() => {})
    }, RELEASE_DELAY_MS)
  }

  /**
   * Tries the preferred shard, and one more if that one is overloaded: which
   * prompts hash to a shard, and so its load, is random.
   */
  private async prepareInShards(request: PreparationRequest, signal: AbortSignal): Promise<Preparation> {
    const startedAt = performance.now()
    await this.members.whenPeersDiscovered()
    const [preferred, other] = this.shards.order(request)
    const result = await this.prepareInShard(subtractElapsed(request, performance.now() - startedAt), preferred, signal)
    if (!other || result.isOk() || result.error.kind !== PreparationFailureKind.Overloaded)
      return result
    const second = await this.prepareInShard(subtractElapsed(request, performance.now() - startedAt), other, signal)
    return second.isErr() && second.error.kind === PreparationFailureKind.Overloaded ? result : second
  }

  /** Calls the coordinators of a shard one after another, with the remaining time and the results handed over so far. */
  private async prepareInShard(request: PreparationRequest, shard: StageShard, signal: AbortSignal): Promise<Preparation> {
    const startedAt = performance.now()
    let { progress } = request
    const failedCoordinators = new Set<string>()
    for (let calls = 0; calls < MAX_COORDINATOR_CALLS && !signal.aborted; calls++) {
      const remaining = { ...subtractElapsed(request, performance.now() - startedAt), shard: shard.name, progress }
      if (remaining.deadlineMs <= 0)
        break
      const coordinator = this.members.coordinatorOf(shard)
      const result = await this.prepareAt(coordinator, remaining, signal, failedCoordinators)
      const failure = result?.isErr() ? result.error : undefined
      if (result && failure?.kind !== PreparationFailureKind.HandedOver)
        return result
      // This process hands work over when another coordinator takes its place, which does not mean that it is stopping.
      if (result && coordinator.name !== this.members.self.name)
        this.members.markStopping(coordinator)
      progress = failure?.progress
    }
    const kind = signal.aborted ? PreparationFailureKind.Cancelled : PreparationFailureKind.Failed
    const message = signal.aborted ? 'the time to the first event passed, or the client left' : 'no coordinator of the stage work answered'
    return Err({ kind, message, retryAfterMs: RETRY_AFTER_MS })
  }

  /** The coordinator's response; undefined if the call failed, in which case its results cannot be used. */
  private async prepareAt(
    coordinator: Member,
    request: PreparationRequest,
    signal: AbortSignal,
    failedCoordinators: Set<string>,
  ): Promise<Preparation | undefined> {
    this.coordinatorByRequest.set(request.requestId, coordinator)
    if (coordinator.name === this.members.self.name)
      return this.local.prepare(request, signal)
    const failure = this.members.watchFailure(coordinator)
    const either = joinSignals(signal, failure.signal)
    try {
      const result = await this.peers.prepare(coordinator, request, either.signal)
      this.members.noteResponse(coordinator)
      return result
    }
    catch (error) {
      // A call that was cancelled with its request, or that is repeated on a new connection, is no evidence against the coordinator.
      if (!signal.aborted && !(failure.signal.reason instanceof ConnectionLostError))
        this.handleCallFailure(coordinator, request.requestId, error, failedCoordinators)
      return undefined
    }
    finally {
      either.dispose()
      failure.dispose()
    }
  }

  private handleCallFailure(coordinator: Member, requestId: string, error: unknown, failedCoordinators: Set<string>): void {
    const { name } = coordinator
    const isFailed = isCoordinatorFailure(error, failedCoordinators.has(name))
    failedCoordinators.add(name)
    const event = isFailed ? 'stage-coordinator-failed' : 'stage-coordinator-call-failed'
    this.log.write(event, { request: requestId, coordinator: name, error: formatError(error) })
    if (isFailed)
      this.members.suspect(coordinator)
  }
}

/** The request with its time limits reduced by the time elapsed. */
function subtractElapsed(request: PreparationRequest, elapsedMs: number): PreparationRequest {
  return { ...request, targetMs: request.targetMs - elapsedMs, deadlineMs: request.deadlineMs - elapsedMs }
}
