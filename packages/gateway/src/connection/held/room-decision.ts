/**
 * Decides which parts of requests and answers get room in the memory that this
 * process may hold for others, which wait, and which are refused.
 *
 * Answers this load: clients and backend servers that read slowly or not at all,
 * beside many large bodies and answers.
 * Inputs: size and kind of the claim, what its request and its connection hold,
 * what the process holds (bytes, as of now); which claims wait before it.
 * Rule: all claims together stay below the limit. A part of it is left to small
 * bodies and answers, which no large one may take. Large bodies take half of the
 * limit at most and go behind answers. One answer at a time may pass the limit,
 * by the size of the largest answer. While others wait, a connection that holds
 * its share gets room only for what it has begun. Bodies that cannot be held, and
 * those that find too many waiting, are refused at once.
 * Why: dropping an answer would throw work away, and a fixed limit for each
 * connection fills the memory with many of them. Answers that are partly read
 * would wait for each other for ever if none might pass the limit, and so would
 * an answer that goes behind a body, which waits for calls to end.
 * Log event: `held-refused`.
 */

/** What is held for a client or a backend server. */
export enum HeldKind {
  /** Body of a request, until its call has ended. */
  RequestBody = 'request-body',
  /** Buffered answer, until it is written to its client. */
  Answer = 'answer',
  /** Part of a stream that its client has not taken. */
  Stream = 'stream',
}

/** Why a claim gets room, or does not. */
export enum RoomReason {
  BelowLimit = 'below-limit',
  SmallReserve = 'small-reserve',
  /** The one answer that may pass the limit. */
  AnswerReserve = 'answer-reserve',
  Full = 'full',
  /** Others wait, and its connection holds its share. */
  ConnectionShare = 'connection-share',
  /** More than can ever be held. */
  TooLarge = 'too-large',
  /** As many wait as the process can hold the beginnings of. */
  TooManyWait = 'too-many-wait',
  /** No room came in time. */
  TooLate = 'too-late',
  /** Its client left, or its call was abandoned. */
  Cancelled = 'cancelled',
}

/** Bodies and answers of this size are small: most prompts and answers without media. */
export const SMALL_BYTES = 65_536
/** Part of the limit that large bodies and answers leave to small ones. */
const SMALL_SHARE = 1 / 8
/** Part of the limit that large bodies may take: the rest is for the answers to them. */
const BODY_SHARE = 1 / 2
/** Part of the limit that a connection may hold while others wait. */
const CONNECTION_SHARE = 1 / 4
/** Part of the limit that the beginnings of waiting bodies may take, which sockets and parsers hold already. */
const WAITING_SHARE = 1 / 8
/**
 * A larger buffered answer is treated as broken. Allows legitimate large answers;
 * one such answer may pass the limit.
 */
export const MAX_BUFFERED_RESPONSE_BYTES = 8_000_000

/** Whether an answer has passed the limit, and whose it is. */
export enum ReserveState {
  Free,
  /** That of the request that claims. */
  Own,
  Taken,
}

/** A claim to room for bytes of one request. */
export interface RoomClaim {
  kind: HeldKind.RequestBody | HeldKind.Answer
  bytes: number
  /** What its request already holds of this kind. */
  heldBytes: number
  /** Whether what its request holds counts as large already. */
  isLarge: boolean
  /** What its connection holds, this request included. */
  connectionBytes: number
  reserve: ReserveState
}

/** What the process holds, in bytes. */
export interface HeldState {
  limitBytes: number
  small: number
  largeBodies: number
  largeAnswers: number
  /** Parts of streams. They are counted and not claimed: what was read of a stream has to be sent. */
  streams: number
}

/** Claims that wait, other than the one that is decided. Answers go before bodies. */
export interface WaitingClaims {
  /** Large claims that go before it; for a small claim, all large ones. */
  large: number
  /** Claims that go before it, of connections that hold less than their share. */
  withinShare: number
}

/** Whether a claim gets room now. */
export interface RoomDecision {
  granted: boolean
  reason: RoomReason
}

/** Whether a claim counts as small, with what its request holds. */
export function isSmall({ bytes, heldBytes, isLarge }: RoomClaim): boolean {
  return !isLarge && bytes + heldBytes <= SMALL_BYTES
}

/** Whether a claim is a new one of a connection that holds its share. */
export function exceedsShare({ heldBytes, connectionBytes }: RoomClaim, { limitBytes }: HeldState): boolean {
  return heldBytes === 0 && connectionBytes >= limitBytes * CONNECTION_SHARE
}

/** All bytes that are held. */
export function totalBytes({ small, largeBodies, largeAnswers, streams }: HeldState): number {
  return small + largeBodies + largeAnswers + streams
}

/** Whether what is held has passed the limit. */
export function isOverLimit(state: HeldState): boolean {
  return !fitsBelow(0, 0, state)
}

/** The largest body that can be held. */
export function maxHeldBodyBytes(limitBytes: number): number {
  return limitBytes * BODY_SHARE
}

/**
 * Returns the place of a claim among those that wait, the lowest first; older
 * requests go first among equals. The answer that has passed the limit goes first,
 * then answers, then bodies; of each kind, connections within their share.
 */
export function rankClaim(claim: RoomClaim, state: HeldState): number {
  if (claim.kind === HeldKind.Answer && claim.reserve === ReserveState.Own)
    return 0
  return (claim.kind === HeldKind.Answer ? 1 : 3) + (exceedsShare(claim, state) ? 1 : 0)
}

/** Decides about a claim; one that is not granted waits. */
export function decideRoom(claim: RoomClaim, state: HeldState, waiting: WaitingClaims): RoomDecision {
  if (exceedsShare(claim, state) && waiting.withinShare > 0)
    return { granted: false, reason: RoomReason.ConnectionShare }
  return isSmall(claim) ? decideSmall(claim, state, waiting) : decideLarge(claim, state, waiting)
}

/** Returns why a body that cannot be held at once is refused; undefined if it may wait. `waitingBodies` includes it. */
export function refuseWait(bytes: number, limitBytes: number, waitingBodies: number): RoomReason | undefined {
  if (bytes > maxHeldBodyBytes(limitBytes))
    return RoomReason.TooLarge
  return waitingBodies * SMALL_BYTES > limitBytes * WAITING_SHARE ? RoomReason.TooManyWait : undefined
}

function decideSmall({ bytes }: RoomClaim, state: HeldState, waiting: WaitingClaims): RoomDecision {
  if (state.small + bytes <= state.limitBytes * SMALL_SHARE)
    return { granted: true, reason: RoomReason.SmallReserve }
  const fits = waiting.large === 0 && totalBytes(state) + bytes <= state.limitBytes
  return fits ? { granted: true, reason: RoomReason.BelowLimit } : { granted: false, reason: RoomReason.Full }
}

function decideLarge(claim: RoomClaim, state: HeldState, waiting: WaitingClaims): RoomDecision {
  const full = { granted: false, reason: RoomReason.Full }
  // What its request held as small counts as large with this claim.
  const largeBytes = claim.bytes + (claim.isLarge ? 0 : claim.heldBytes)
  if (waiting.large > 0)
    return full
  if (claim.kind === HeldKind.RequestBody && state.largeBodies + largeBytes > maxHeldBodyBytes(state.limitBytes))
    return full
  if (fitsBelow(largeBytes, claim.bytes, state))
    return { granted: true, reason: RoomReason.BelowLimit }
  const mayPass = claim.kind === HeldKind.Answer && claim.reserve !== ReserveState.Taken && fitsBelow(largeBytes, claim.bytes, state, MAX_BUFFERED_RESPONSE_BYTES)
  return mayPass ? { granted: true, reason: RoomReason.AnswerReserve } : full
}

/** Whether large bytes, of which `addedBytes` are not held yet, fit below the limit and leave the part of the small ones. */
function fitsBelow(largeBytes: number, addedBytes: number, state: HeldState, reserveBytes = 0): boolean {
  const large = state.largeBodies + state.largeAnswers + state.streams + largeBytes
  const fitsLarge = large <= state.limitBytes * (1 - SMALL_SHARE) + reserveBytes
  return fitsLarge && totalBytes(state) + addedBytes <= state.limitBytes + reserveBytes
}
