/**
 * Passes what a socket receives to Node's HTTP parser in slices, each once the
 * owner accepts it. While it accepts none, nothing is read from the socket. Takes
 * the place of the socket's `push` and `_read`, which the stream interface leaves
 * to those who implement a stream. Lives as long as its socket.
 */
import type { Socket } from 'node:net'
import type { Turns } from './turns.js'
import { findSliceEnd } from './slices.js'

/** Decides when slices are parsed. */
export interface SliceOwner {
  /** Whether the next slice may be parsed now. */
  acceptsSlice: () => boolean
  /** Bytes of a body that come next for certain; they hold no request, and are not divided. */
  readonly remainingBodyBytes: number
  /** Has a slice parsed; its requests are emitted meanwhile. */
  parseSlice: (slice: Buffer, parse: () => void) => void
  /** So many bytes wait to be parsed. */
  handleWaiting: (bytes: number) => void
}

/** Further slices wait for their turn, so that chunked bodies of many connections do not keep new clients waiting. */
const MAX_SLICES_AT_ONCE = 2

enum ReadMode {
  Slices,
  /** Whole chunks, as they come. */
  Whole,
  Stopped,
}

/** A socket that is read in slices. */
export class SlicedSocket {
  private readonly push: Socket['push']
  private readonly read: Socket['_read']
  /** Received and not parsed, in order; `offset` is the first byte of the first one that was not. */
  private waiting: Buffer[] = []
  private waitingBytes = 0
  private offset = 0
  private hasEnded = false
  private mode = ReadMode.Slices
  private readonly takeTurn = (): void => void this.parseWaiting()

  constructor(private readonly socket: Socket, private readonly turns: Turns, private readonly owner: SliceOwner) {
    this.push = socket.push.bind(socket)
    this.read = socket._read.bind(socket)
    socket.push = (chunk: Buffer | null) => this.receive(chunk)
    socket._read = size => this.readMore(size)
    // With a listener of its data, Node reads the socket as a stream. Otherwise its parser takes the data from the handle.
    socket.on('data', () => {})
    socket.on('resume', () => this.resume())
  }

  /** Parses on when it is this connection's turn, if something waits. */
  resume(): void {
    if (this.isWaiting)
      this.turns.add(this.takeTurn)
  }

  /** Discards what waits, and reads nothing more. */
  stop(): void {
    this.mode = ReadMode.Stopped
    this.waiting = []
    this.waitingBytes = 0
    this.hasEnded = false
    this.owner.handleWaiting(0)
  }

  /** Passes on what waits, and from now on all that is received: the connection does not speak HTTP any more. */
  bypass(): void {
    this.mode = ReadMode.Whole
  }

  private get isWaiting(): boolean {
    return this.waiting.length > 0 || this.hasEnded
  }

  private receive(chunk: Buffer | null): boolean {
    if (this.mode === ReadMode.Stopped)
      return false
    if (chunk === null) {
      this.hasEnded = true
    }
    else {
      this.waiting.push(chunk)
      this.waitingBytes += chunk.length
    }
    return this.parseWaiting()
  }

  /** Called by the stream when it has passed on what it had. */
  private readMore(size: number): void {
    if (this.isWaiting)
      this.resume()
    else if (this.mode !== ReadMode.Stopped)
      this.read(size)
  }

  /** Parses slices while they are accepted; returns whether more may be received. */
  private parseWaiting(): boolean {
    for (let slices = 0; this.waiting.length > 0 && this.mayParse; slices++) {
      if (slices >= MAX_SLICES_AT_ONCE && this.mode === ReadMode.Slices) {
        this.resume()
        break
      }
      const slice = this.takeSlice()
      if (this.mode === ReadMode.Slices)
        this.owner.parseSlice(slice, () => void this.push(slice))
      else
        this.push(slice)
    }
    this.owner.handleWaiting(this.waitingBytes)
    if (this.waiting.length > 0)
      return false
    if (!this.hasEnded)
      return this.mode !== ReadMode.Stopped && !this.socket.isPaused()
    this.hasEnded = false
    return this.push(null)
  }

  private get mayParse(): boolean {
    if (this.mode === ReadMode.Whole)
      return true
    return !this.socket.destroyed && !this.socket.isPaused() && this.owner.acceptsSlice()
  }

  private takeSlice(): Buffer {
    const [chunk] = this.waiting
    const start = this.offset
    const end = this.mode === ReadMode.Whole ? chunk.length : findSliceEnd(chunk, start, this.owner.remainingBodyBytes)
    if (end === chunk.length) {
      this.waiting.shift()
      this.offset = 0
    }
    else {
      this.offset = end
    }
    this.waitingBytes -= end - start
    return chunk.subarray(start, end)
  }
}
