/**
 * Stage work at whichever gateway owns it. When the coordinator is lost, the work
 * begins anew at the next one; the lost one frees what it made when it sees
 * its caller gone.
 */
import type { EventLog } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { Member } from '../../connection/member.js'
import type { PeerClients } from '../../connection/peer-clients.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs, Preparer } from '../../connection/preparation.js'
import type { Members } from '../membership/members.js'
import { formatError } from '@eidermast/common'
import { Err } from 'ts-results-es'
import { PreparationFailureKind } from '../../connection/preparation.js'

const MAX_COORDINATORS = 4
const RELEASE_DELAY_MS = 20
const RETRY_AFTER_MS = 1000

/** Calls the coordinator of the stage work, be it this process or another. */
export class SharedPreparer implements Preparer {
  private readonly coordinatorOf = new Map<string, Member>()
  private readonly toRelease = new Map<string, string[]>()

  constructor(
    private readonly members: Members,
    private readonly local: Preparer,
    private readonly peers: Pick<PeerClients, 'prepare' | 'release'>,
    private readonly log: EventLog,
  ) {}

  async prepare(request: PreparationRequest, signal: AbortSignal): Promise<Result<PreparedInputs, PreparationFailure>> {
    const result = await this.prepareAtCoordinators(request, signal)
    if (result.isErr())
      this.coordinatorOf.delete(request.requestId)
    return result
  }

  release(requestId: string): void {
    const coordinator = this.coordinatorOf.get(requestId)
    this.coordinatorOf.delete(requestId)
    if (!coordinator)
      return
    if (coordinator.name === this.members.self.name)
      this.local.release(requestId)
    else
      this.releaseAt(coordinator, requestId)
  }

  private async prepareAtCoordinators(request: PreparationRequest, signal: AbortSignal): Promise<Result<PreparedInputs, PreparationFailure>> {
    const startedAt = performance.now()
    let { progress } = request
    const failedAt = new Set<string>()
    for (let tried = 0; tried < MAX_COORDINATORS && !signal.aborted; tried++) {
      const elapsed = performance.now() - startedAt
      const rest = { ...request, targetMs: request.targetMs - elapsed, deadlineMs: request.deadlineMs - elapsed, progress }
      if (rest.deadlineMs <= 0)
        break
      const { coordinator } = this.members
      const result = await this.prepareAt(coordinator, rest, signal, failedAt)
      if (result && !isHandedOver(result))
        return result
      if (result)
        this.members.markStopping(coordinator)
      progress = result?.unwrapErr().progress
    }
    const kind = signal.aborted ? PreparationFailureKind.Cancelled : PreparationFailureKind.Failed
    return Err({ kind, message: 'no coordinator of the stage work answered', retryAfterMs: RETRY_AFTER_MS })
  }

  /** The coordinator's word; undefined where the coordinator was lost, and its results with it. */
  private async prepareAt(coordinator: Member, request: PreparationRequest, signal: AbortSignal, failedAt: Set<string>): Promise<Result<PreparedInputs, PreparationFailure> | undefined> {
    this.coordinatorOf.set(request.requestId, coordinator)
    if (coordinator.name === this.members.self.name)
      return this.local.prepare(request, signal)
    const failure = this.members.watchFailure(coordinator)
    try {
      return await this.peers.prepare(coordinator, request, AbortSignal.any([signal, failure.signal]))
    }
    catch (error) {
      if (!signal.aborted)
        this.takeFailure(coordinator, request.requestId, error, failedAt)
      return undefined
    }
    finally {
      failure.dispose()
    }
  }

  /** One connection that breaks says little: the coordinator is lost where nobody listens any more, or where a second call fails. */
  private takeFailure(coordinator: Member, requestId: string, error: unknown, failedAt: Set<string>): void {
    const isLost = isRefusedConnection(error) || failedAt.has(coordinator.name)
    failedAt.add(coordinator.name)
    this.log.write(isLost ? 'stage-coordinator-failed' : 'stage-coordinator-call-failed', { request: requestId, coordinator: coordinator.name, error: formatError(error) })
    if (isLost)
      this.members.suspect(coordinator)
  }

  private releaseAt(coordinator: Member, requestId: string): void {
    const waiting = this.toRelease.get(coordinator.address)
    if (waiting) {
      waiting.push(requestId)
      return
    }
    this.toRelease.set(coordinator.address, [requestId])
    setTimeout(() => {
      const ids = this.toRelease.get(coordinator.address) ?? []
      this.toRelease.delete(coordinator.address)
      // A result that is not given up ends by itself.
      void this.peers.release(coordinator, ids).catch(() => {})
    }, RELEASE_DELAY_MS)
  }
}

/** Whether nobody listens at the address; the code stands in one of the error's causes. */
function isRefusedConnection(error: unknown): boolean {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    if ('code' in cause && cause.code === 'ECONNREFUSED')
      return true
  }
  return false
}

function isHandedOver(result: Result<PreparedInputs, PreparationFailure>): boolean {
  return result.isErr() && result.error.kind === PreparationFailureKind.HandedOver
}
