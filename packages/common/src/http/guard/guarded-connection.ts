/**
 * One connection of a client: counts its unanswered requests and the memory that
 * it takes, and has what it receives parsed as far as that allows. Lives as long
 * as its socket.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { MemoryPool } from './memory-pool.js'
import type { SliceOwner } from './sliced-socket.js'
import type { Turns } from './turns.js'
import { CompactRequest } from '../compact-request.js'
import { costOfHead, OWN_CONNECTION_BYTES, REQUEST_COST_BYTES } from './connection-cost.js'
import { acceptsMore, ClientDuty, closeForMemory, closeOverdue, CloseReason } from './connection-decision.js'
import { SlicedSocket } from './sliced-socket.js'

/** Sent in place of an answer to a request whose head was not read: nothing of it ran. */
const REFUSAL = 'HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n'
/** Longest time that one look counts for, so that a pause of this process is not the client's. */
const MAX_COUNTED_MS = 1000

/** Memory of one request, in bytes. */
interface RequestCost {
  bytes: number
}

/** Learns of what happens to a connection. */
export interface ConnectionObserver {
  /** It has no unanswered request, or has one again. */
  idleChanged: (connection: GuardedConnection, isIdle: boolean) => void
  closed: (reason: CloseReason) => void
}

/** A connection of a guarded server. */
export class GuardedConnection implements SliceOwner {
  private readonly sliced: SlicedSocket
  /** Responses that are not written to their end, in order. */
  private readonly open = new Set<ServerResponse>()
  /** Memory of the head that has begun and of the requests, and what was received and not parsed. Bytes. */
  private headBytes = 0
  private requestBytes = 0
  private waitingBytes = 0
  private sharedBytes = 0
  /** The request that was read last. */
  private message: IncomingMessage | undefined
  private latestCost: RequestCost | undefined
  /** Requests that were read so far. */
  private requests = 0
  private isClosing = false
  private isReleased = false
  private duty = ClientDuty.None
  private takenBytes = 0
  private overdueMs = 0

  constructor(readonly socket: Socket, private readonly pool: MemoryPool, turns: Turns, private readonly observer: ConnectionObserver) {
    this.sliced = new SlicedSocket(socket, turns, this)
    socket.once('close', () => this.handleClose())
  }

  /** Counts a request until its answer is written or its connection closed. */
  openRequest(message: IncomingMessage, response: ServerResponse): void {
    const cost: RequestCost = { bytes: REQUEST_COST_BYTES }
    this.message = message
    this.latestCost = cost
    this.requests++
    this.requestBytes += cost.bytes
    this.open.add(response)
    if (this.unanswered === 1)
      this.observer.idleChanged(this, false)
    response.once('close', () => {
      this.open.delete(response)
      if (message instanceof CompactRequest)
        message.releaseHead()
      this.closeRequest(cost)
    })
  }

  /** The connection does not speak HTTP any more: it is not read in slices, and not closed for what it sends. */
  release(): void {
    this.isReleased = true
    this.observer.idleChanged(this, false)
    this.sliced.bypass()
  }

  /** Closes a connection that has no request. */
  closeIdle(): void {
    this.observer.closed(CloseReason.IdleAtLimit)
    this.socket.destroy()
  }

  /** Disconnects a client that does not do what the connection waits for. `elapsedMs` is the time since the last look. */
  check(elapsedMs: number): void {
    const duty = this.findDuty()
    const takenBytes = this.socket.bytesWritten - this.socket.writableLength
    const isOverdue = duty === this.duty && (duty !== ClientDuty.Read || takenBytes === this.takenBytes)
    this.overdueMs = isOverdue ? this.overdueMs + Math.min(elapsedMs, MAX_COUNTED_MS) : 0
    this.duty = duty
    this.takenBytes = takenBytes
    const reason = closeOverdue(duty, this.overdueMs)
    if (reason === undefined)
      return
    this.observer.closed(reason)
    this.socket.destroy()
  }

  acceptsSlice(): boolean {
    // The body of a request that was begun is read in any case.
    const before = this.isInBody && this.latestCost !== undefined ? this.unanswered - 1 : this.unanswered
    return acceptsMore({ unanswered: before, isMemoryFull: this.pool.isFull })
  }

  get remainingBodyBytes(): number {
    return this.message instanceof CompactRequest ? this.message.remainingBytes : 0
  }

  parseSlice(slice: Buffer, parse: () => void): void {
    const { requests, bodyBytes } = this
    parse()
    if (this.requests > requests) {
      this.addToLatest(this.headBytes + costOfHead(slice))
      this.headBytes = 0
    }
    // Lines that bring nothing of a body are those of a head, or of trailers, which are held like it.
    else {
      this.headBytes = this.bodyBytes === bodyBytes ? this.headBytes + costOfHead(slice) : 0
    }
    this.updateMemory()
  }

  handleWaiting(bytes: number): void {
    this.waitingBytes = bytes
    this.updateMemory()
  }

  private get unanswered(): number {
    return this.open.size
  }

  private get bodyBytes(): number {
    return this.message instanceof CompactRequest ? this.message.bodyBytes : 0
  }

  private findDuty(): ClientDuty {
    if (this.isReleased)
      return this.socket.writableEnded ? ClientDuty.Close : ClientDuty.None
    if (this.socket.writableEnded)
      return ClientDuty.Close
    if (this.socket.writableLength > 0)
      return ClientDuty.Read
    return this.unanswered === 0 && this.isInBody ? ClientDuty.EndBody : ClientDuty.None
  }

  private get isInBody(): boolean {
    return this.message !== undefined && !this.message.complete
  }

  private addToLatest(bytes: number): void {
    // The request may have been answered already.
    if (this.latestCost === undefined)
      return
    this.latestCost.bytes += bytes
    this.requestBytes += bytes
  }

  private closeRequest(cost: RequestCost): void {
    this.requestBytes -= cost.bytes
    if (this.latestCost === cost)
      this.latestCost = undefined
    this.updateMemory()
    if (this.unanswered > 0 || this.socket.destroyed)
      return this.sliced.resume()
    if (this.isClosing)
      return this.socket.destroySoon()
    this.observer.idleChanged(this, true)
    this.sliced.resume()
  }

  private updateMemory(): void {
    const sharedBytes = this.socket.destroyed ? 0 : Math.max(0, this.headBytes + this.requestBytes + this.waitingBytes - OWN_CONNECTION_BYTES)
    this.pool.take(sharedBytes - this.sharedBytes)
    this.sharedBytes = sharedBytes
    if (this.isClosing || this.isReleased)
      return
    const reason = closeForMemory({ headBytes: this.headBytes, aheadBytes: this.isInBody ? 0 : this.waitingBytes, sharedBytes, isMemoryFull: this.pool.isFull })
    if (reason !== undefined)
      this.closeWhenAnswered(reason)
  }

  /** Reads nothing more, and closes the connection once its requests are answered. */
  private closeWhenAnswered(reason: CloseReason): void {
    this.isClosing = true
    this.observer.closed(reason)
    this.sliced.stop()
    if (this.unanswered === 0)
      this.socket.end(REFUSAL)
  }

  private handleClose(): void {
    this.sliced.stop()
    this.headBytes = 0
    this.updateMemory()
    this.closeWithoutTurn()
  }

  /** Node closes only the response whose turn it is; those behind it are closed here, so that nothing waits for them. */
  private closeWithoutTurn(): void {
    for (const response of this.open) {
      if (response.socket !== null)
        continue
      response.destroy()
      response.emit('close')
    }
  }
}
