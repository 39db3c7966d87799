/**
 * Claims room for the body of a request before it is read, and logs requests
 * that get none. Exists as long as the request; what it claims is returned by its
 * holding.
 */
import type { EventLog, RequestError } from '@eidermast/common'
import type { Readable } from 'node:stream'
import type { Result } from 'ts-results-es'
import type { Holding } from '../held/held-bytes.js'
import type { ClientRequestHead } from './client-codec.js'
import { createError, ErrorKind } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { decideBodyWaitMs, decideReturnMs } from '../held/body-wait.js'
import { HeldKind, maxHeldBodyBytes, RoomReason } from '../held/room-decision.js'

/** What the wait of a body depends on. */
type BodyHead = Pick<ClientRequestHead, 'requestId' | 'deadlineMs'>

/** Room for the body of one request. */
export class BodyRoom {
  /** Why a body that had been begun got no further room. */
  refusal: RequestError | undefined
  private claimedBytes = 0

  constructor(
    private readonly holding: Holding,
    /** Aborts when the client disconnects. */
    private readonly signal: AbortSignal,
    private readonly log: EventLog,
  ) {}

  /** Waits for room; returns the error for a request that gets none. */
  async claim(bytes: number, { requestId, deadlineMs }: BodyHead): Promise<Result<void, RequestError>> {
    const startedAt = performance.now()
    const { granted, reason } = await this.holding.claim({ kind: HeldKind.RequestBody, bytes, maxWaitMs: decideBodyWaitMs(deadlineMs), signal: this.signal })
    if (granted) {
      this.claimedBytes += bytes
      return Ok(undefined)
    }
    const error = reason === RoomReason.TooLarge
      ? this.tooLarge()
      : createError(ErrorKind.Overloaded, 'the gateway has no memory left for the request body; retry the request', { retryAfterMs: decideReturnMs(deadlineMs) })
    this.log.write('held-refused', {
      request: requestId,
      bytes,
      reason,
      waitedMs: Math.round(performance.now() - startedAt),
      retryAfterMs: error.retryAfterMs,
    })
    return Err(error)
  }

  /** Passes on a body without a length. It claims the room of the largest one that can be held when it turns out not to be small, and ends there if it gets none. */
  async* claimWhileReading(body: Readable, maxBytes: number, head: BodyHead): AsyncGenerator<Buffer> {
    const roomBytes = Math.min(maxBytes, this.maxHeldBytes)
    let size = 0
    // A body that is not read to its end leaves its connection open for the answer.
    for await (const chunk of body.iterator({ destroyOnReturn: false })) {
      size += (chunk as Buffer).length
      if (size > roomBytes && roomBytes < maxBytes) {
        this.refusal = this.tooLarge()
        return
      }
      if (size > this.claimedBytes && this.claimedBytes < roomBytes) {
        const claimed = await this.claim(roomBytes - this.claimedBytes, head)
        if (claimed.isErr()) {
          this.refusal = claimed.error
          return
        }
      }
      yield chunk as Buffer
    }
  }

  /** Gives back what a body without a length did not need. */
  shrinkTo(bytes: number): void {
    this.holding.release(HeldKind.RequestBody, this.claimedBytes - bytes)
    this.claimedBytes = bytes
  }

  private get maxHeldBytes(): number {
    return maxHeldBodyBytes(this.holding.limitBytes)
  }

  private tooLarge(): RequestError {
    return createError(ErrorKind.BodyTooLarge, `request body exceeds the ${this.maxHeldBytes} bytes that this gateway can hold`)
  }
}
