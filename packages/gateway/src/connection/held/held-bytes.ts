/**
 * Account of the bytes that this process holds for clients and backend servers
 * that read slowly: one holding for each request, one sum for all. Claims that
 * get no room wait here, each until its deadline or the end of its request. The
 * account lives as long as the process, a holding as long as its request and
 * what is left to be written of its answer.
 */
import type { HeldState, RoomClaim, RoomDecision, WaitingClaims } from './room-decision.js'
import { decideRoom, exceedsShare, HeldKind, isOverLimit, isSmall, rankClaim, refuseWait, ReserveState, RoomReason, totalBytes } from './room-decision.js'

const NONE_WAIT: WaitingClaims = { large: 0, withinShare: 0 }

/** Counts what the account does; implemented by the process's metrics. */
export interface HeldBytesMetrics {
  countHeldWait: (kind: HeldKind) => void
  countHeldRefusal: (reason: RoomReason) => void
}

/** A claim by a request. */
export interface RoomRequest {
  kind: RoomClaim['kind']
  bytes: number
  /** Milliseconds for which it may wait. @default until the signal aborts */
  maxWaitMs?: number
  /** Ends the wait. */
  signal: AbortSignal
}

/** A connection of a client, with the sums of its requests. */
interface HeldConnection {
  bytes: number
  /** Its requests that hold bytes, or may. */
  readonly holdings: Set<Holding>
}

interface WaitingClaim {
  holding: Holding
  request: RoomRequest
  /** Ends the wait. */
  settle: (decision: RoomDecision) => void
}

interface Ledger {
  bytes: number
  isLarge: boolean
}

/** Bytes that one request holds, until its call has ended and its answer is written. */
export class Holding {
  readonly ledgers: Record<RoomClaim['kind'], Ledger> = {
    [HeldKind.RequestBody]: { bytes: 0, isLarge: false },
    [HeldKind.Answer]: { bytes: 0, isLarge: false },
  }

  private streamBytes = 0
  private callEnded = false
  private answerClosed = false

  constructor(
    private readonly account: HeldBytes,
    readonly connection: HeldConnection,
    /** Position among all requests of this process. */
    readonly order: number,
  ) {}

  /** Limit of the process, in bytes. */
  get limitBytes(): number {
    return this.account.limitBytes
  }

  /** Takes room once there is some; resolves with whether there was, and why. */
  claim(request: RoomRequest): RoomDecision | Promise<RoomDecision> {
    return this.callEnded ? { granted: false, reason: RoomReason.Cancelled } : this.account.claim(this, request)
  }

  /** Gives back room. */
  release(kind: RoomClaim['kind'], bytes = Number.POSITIVE_INFINITY): void {
    const released = Math.min(bytes, this.ledgers[kind].bytes)
    if (released > 0)
      this.account.release(this, kind, released)
  }

  /** The call of the request has ended: its body is not needed any more. */
  endCall(): void {
    this.callEnded = true
    this.release(HeldKind.RequestBody)
    this.endIfDone()
  }

  /** The answer is written, or its client has left. */
  closeAnswer(): void {
    this.answerClosed = true
    this.endIfDone()
  }

  /** Sets what is held of a stream. */
  setStreamBytes(bytes: number): void {
    const held = this.answerClosed ? 0 : bytes
    const added = held - this.streamBytes
    this.streamBytes = held
    if (added !== 0)
      this.account.addStreamBytes(this, added)
  }

  /** A call that has not ended gives back what it reads of an answer itself. */
  private endIfDone(): void {
    if (!this.callEnded || !this.answerClosed)
      return
    this.release(HeldKind.Answer)
    this.setStreamBytes(0)
    this.connection.holdings.delete(this)
  }
}

/** The account of a process; a limit of Infinity counts only. */
export class HeldBytes {
  private readonly state: HeldState
  private readonly connections = new WeakMap<object, HeldConnection>()
  /** In the order in which they came. */
  private waiting: WaitingClaim[] = []
  /** The request whose answer may pass the limit. */
  private reserveHolder: Holding | undefined
  private requests = 0
  private readonly bytesByKind = { [HeldKind.RequestBody]: 0, [HeldKind.Answer]: 0, [HeldKind.Stream]: 0 }

  constructor(readonly limitBytes: number, private readonly metrics: HeldBytesMetrics) {
    this.state = { limitBytes, small: 0, largeBodies: 0, largeAnswers: 0, streams: 0 }
  }

  /** All bytes that are held. */
  get totalBytes(): number {
    return totalBytes(this.state)
  }

  /** Bytes that are held of a kind. */
  heldOf(kind: HeldKind): number {
    return this.bytesByKind[kind]
  }

  /** Opens the holding of a request that came over a connection. */
  open(connection: object): Holding {
    let held = this.connections.get(connection)
    if (!held) {
      held = { bytes: 0, holdings: new Set() }
      this.connections.set(connection, held)
    }
    const holding = new Holding(this, held, this.requests++)
    held.holdings.add(holding)
    return holding
  }

  /** A connection was closed: nobody takes what waits for it. */
  closeConnection(connection: object): void {
    for (const holding of this.connections.get(connection)?.holdings ?? [])
      holding.closeAnswer()
  }

  /** For `Holding.claim`. */
  claim(holding: Holding, request: RoomRequest): RoomDecision | Promise<RoomDecision> {
    // A body of no bytes, as of many requests without parameters, needs no room.
    if (request.bytes === 0)
      return { granted: true, reason: RoomReason.BelowLimit }
    if (this.waiting.length === 0) {
      const decision = this.decide(holding, request, NONE_WAIT)
      if (decision.granted)
        return decision
    }
    return request.signal.aborted ? this.refuse(request, RoomReason.Cancelled) : this.wait(holding, request)
  }

  /** For `Holding.release`. */
  release(holding: Holding, kind: RoomClaim['kind'], bytes: number): void {
    const ledger = holding.ledgers[kind]
    ledger.bytes -= bytes
    holding.connection.bytes -= bytes
    this.bytesByKind[kind] -= bytes
    this.addToState(kind, ledger.isLarge, -bytes)
    if (ledger.bytes === 0)
      this.reset(holding, kind)
    this.serveWaiting()
  }

  /** For `Holding.setStreamBytes`. */
  addStreamBytes(holding: Holding, bytes: number): void {
    holding.connection.bytes += bytes
    this.bytesByKind[HeldKind.Stream] += bytes
    this.state.streams += bytes
    if (bytes < 0)
      this.serveWaiting()
  }

  private reset(holding: Holding, kind: RoomClaim['kind']): void {
    holding.ledgers[kind].isLarge = false
    if (kind === HeldKind.Answer && this.reserveHolder === holding)
      this.reserveHolder = undefined
  }

  /** Returns why a claim that got no room may not wait. */
  private refuseWait({ kind, bytes }: RoomRequest): RoomReason | undefined {
    const waitingBodies = this.waiting.filter(({ request }) => request.kind === HeldKind.RequestBody).length
    return kind === HeldKind.RequestBody ? refuseWait(bytes, this.limitBytes, waitingBodies) : undefined
  }

  private refuse(request: RoomRequest, reason: RoomReason): RoomDecision {
    if (request.kind === HeldKind.RequestBody && reason !== RoomReason.Cancelled)
      this.metrics.countHeldRefusal(reason)
    return { granted: false, reason }
  }

  /** Lets a claim wait until there is room, its time is over or its request has ended. */
  private wait(holding: Holding, request: RoomRequest): Promise<RoomDecision> {
    return new Promise((resolve) => {
      const end = (reason: RoomReason): void => claim.settle(this.refuse(request, reason))
      const cancel = (): void => end(RoomReason.Cancelled)
      const timer = request.maxWaitMs === undefined ? undefined : setTimeout(() => end(RoomReason.TooLate), request.maxWaitMs)
      const claim: WaitingClaim = {
        holding,
        request,
        settle: (decision) => {
          clearTimeout(timer)
          request.signal.removeEventListener('abort', cancel)
          this.waiting = this.waiting.filter(other => other !== claim)
          resolve(decision)
          if (!decision.granted)
            this.serveWaiting()
        },
      }
      request.signal.addEventListener('abort', cancel)
      this.waiting.push(claim)
      this.serveWaiting()
      if (!this.waiting.includes(claim))
        return
      const refusal = this.refuseWait(request)
      if (refusal)
        return end(refusal)
      this.metrics.countHeldWait(request.kind)
    })
  }

  /** Gives room to those that wait, older requests first among equals. */
  private serveWaiting(): void {
    if (this.waiting.length === 0)
      return
    const described = this.waiting.map(claim => ({ claim, room: this.describe(claim.holding, claim.request) }))
    let largeLeft = described.filter(({ room }) => !isSmall(room)).length
    const before = { large: 0, withinShare: 0 }
    described.sort((one, other) => rankClaim(one.room, this.state) - rankClaim(other.room, this.state) || one.claim.holding.order - other.claim.holding.order)
    for (const { claim, room } of described) {
      const small = isSmall(room)
      const decision = this.decide(claim.holding, claim.request, { ...before, large: small ? largeLeft : before.large })
      if (decision.granted) {
        largeLeft -= small ? 0 : 1
        claim.settle(decision)
        continue
      }
      before.large += small ? 0 : 1
      before.withinShare += exceedsShare(room, this.state) ? 0 : 1
    }
  }

  /** Decides about a claim and takes the room that it gets. */
  private decide(holding: Holding, request: RoomRequest, waiting: WaitingClaims): RoomDecision {
    const claim = this.describe(holding, request)
    const decision = decideRoom(claim, this.state, waiting)
    if (decision.granted)
      this.take(holding, claim, decision.reason)
    return decision
  }

  private take(holding: Holding, claim: RoomClaim, reason: RoomReason): void {
    const ledger = holding.ledgers[claim.kind]
    if (!ledger.isLarge && !isSmall(claim)) {
      this.addToState(claim.kind, false, -ledger.bytes)
      this.addToState(claim.kind, true, ledger.bytes)
      ledger.isLarge = true
    }
    ledger.bytes += claim.bytes
    holding.connection.bytes += claim.bytes
    this.bytesByKind[claim.kind] += claim.bytes
    this.addToState(claim.kind, ledger.isLarge, claim.bytes)
    if (reason === RoomReason.AnswerReserve)
      this.reserveHolder = holding
  }

  private describe(holding: Holding, { kind, bytes }: RoomRequest): RoomClaim {
    const ledger = holding.ledgers[kind]
    return { kind, bytes, heldBytes: ledger.bytes, isLarge: ledger.isLarge, connectionBytes: holding.connection.bytes, reserve: this.reserveOf(holding) }
  }

  private reserveOf(holding: Holding): ReserveState {
    if (this.reserveHolder === holding)
      return ReserveState.Own
    return this.reserveHolder !== undefined && isOverLimit(this.state) ? ReserveState.Taken : ReserveState.Free
  }

  private addToState(kind: RoomClaim['kind'], isLarge: boolean, bytes: number): void {
    if (!isLarge)
      this.state.small += bytes
    else if (kind === HeldKind.Answer)
      this.state.largeAnswers += bytes
    else
      this.state.largeBodies += bytes
  }
}
