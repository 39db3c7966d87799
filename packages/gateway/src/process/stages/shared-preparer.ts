import type { EventLog } from '@eidermast/common'
/**
 * Stage work at whichever gateway owns it. When the owner is lost, the work
 * begins anew at the next one; the lost one frees what it made when it sees
 * its caller gone.
 */
import type { Result } from 'ts-results-es'
import type { PeerClients } from '../../connection/peer-clients.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs, Preparer } from '../../connection/preparation.js'
import type { Member, Members } from '../membership/members.js'
import { formatError } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { PreparationFailureKind } from '../../connection/preparation.js'

const MOST_OWNERS = 4
const RELEASE_DELAY_MS = 20
const RETRY_AFTER_MS = 1000

/** Calls the owner of the stage work, be it this process or another. */
export class SharedPreparer implements Preparer {
  private readonly ownerOf = new Map<string, Member>()
  private readonly toRelease = new Map<string, string[]>()

  constructor(
    private readonly members: Members,
    private readonly local: Preparer,
    private readonly peers: Pick<PeerClients, 'prepare' | 'release'>,
    private readonly log: EventLog,
  ) {}

  async prepare(request: PreparationRequest, signal: AbortSignal): Promise<Result<PreparedInputs, PreparationFailure>> {
    const result = await this.prepareAtOwners(request, signal)
    if (result.isErr())
      this.ownerOf.delete(request.requestId)
    return result
  }

  release(requestId: string): void {
    const owner = this.ownerOf.get(requestId)
    this.ownerOf.delete(requestId)
    if (!owner)
      return
    if (owner.name === this.members.self.name)
      this.local.release(requestId)
    else
      this.releaseAt(owner, requestId)
  }

  private async prepareAtOwners(request: PreparationRequest, signal: AbortSignal): Promise<Result<PreparedInputs, PreparationFailure>> {
    const startedAt = performance.now()
    let { progress } = request
    const failedAt = new Set<string>()
    for (let tried = 0; tried < MOST_OWNERS && !signal.aborted; tried++) {
      const elapsed = performance.now() - startedAt
      const rest = { ...request, targetMs: request.targetMs - elapsed, deadlineMs: request.deadlineMs - elapsed, progress }
      if (rest.deadlineMs <= 0)
        break
      const { owner } = this.members
      const result = await this.prepareAt(owner, rest, signal, failedAt)
      if (result && !isHandedOver(result))
        return result
      if (result)
        this.members.markStopping(owner)
      progress = result?.unwrapErr().progress
    }
    const kind = signal.aborted ? PreparationFailureKind.Cancelled : PreparationFailureKind.Failed
    return Err({ kind, message: 'no owner of the stage work answered', retryAfterMs: RETRY_AFTER_MS })
  }

  /** The owner's word; undefined where the owner was lost, and its results with it. */
  private async prepareAt(owner: Member, request: PreparationRequest, signal: AbortSignal, failedAt: Set<string>): Promise<Result<PreparedInputs, PreparationFailure> | undefined> {
    this.ownerOf.set(request.requestId, owner)
    if (owner.name === this.members.self.name)
      return this.local.prepare(request, signal)
    const lost = this.members.watchLoss(owner)
    try {
      const reply = await this.peers.prepare(owner, request, AbortSignal.any([signal, lost.signal]))
      return 'prepared' in reply ? Ok(reply.prepared) : Err(reply.failure)
    }
    catch (error) {
      if (!signal.aborted)
        this.takeFailure(owner, request.requestId, error, failedAt)
      return undefined
    }
    finally {
      lost.dispose()
    }
  }

  /** One connection that breaks says little: the owner is lost where nobody listens any more, or where a second call fails. */
  private takeFailure(owner: Member, requestId: string, error: unknown, failedAt: Set<string>): void {
    const isLost = isRefusedConnection(error) || failedAt.has(owner.name)
    failedAt.add(owner.name)
    this.log.write(isLost ? 'stage-owner-lost' : 'stage-owner-call-failed', { request: requestId, owner: owner.name, error: formatError(error) })
    if (isLost)
      this.members.suspect(owner)
  }

  private releaseAt(owner: Member, requestId: string): void {
    const waiting = this.toRelease.get(owner.address)
    if (waiting) {
      waiting.push(requestId)
      return
    }
    this.toRelease.set(owner.address, [requestId])
    setTimeout(() => {
      const ids = this.toRelease.get(owner.address) ?? []
      this.toRelease.delete(owner.address)
      // A result that is not given up ends by itself.
      void this.peers.release(owner, ids).catch(() => {})
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
