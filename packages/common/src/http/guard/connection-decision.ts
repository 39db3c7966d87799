/**
 * Decides what becomes of a client's connection: whether more of it is parsed,
 * whether it is closed, and whether a new one is accepted.
 *
 * Answers this load: clients that send heads of very many lines, requests ahead of
 * their answers, or nothing, and that do not read, on many connections at once.
 * Inputs: unanswered requests of the connection, memory that it takes beyond its
 * own part and that all connections take (bytes, estimated, as of now); time for
 * which it has moved nothing (ms).
 * Rule: each connection has a part of its own, which ordinary requests do not
 * exceed; what is beyond comes from memory that all share. MAX_UNANSWERED requests
 * of a connection are handled at a time, and further ones only while shared memory
 * is left; the others wait, and are not read from the socket. Where none is left,
 * a connection is closed whose head takes more than its own part, or whose requests
 * wait, once its requests are answered. A client that does not take its answer,
 * does not end a body that nobody reads, or keeps a connection that this process
 * has closed, is disconnected after a time. At the limit of connections, the one
 * without a request for the longest time gives way to a new one.
 * Why: each of them takes processor time and memory before anything can be
 * refused. A limit on the lines of a head would refuse single requests that are
 * within the configured limits, and a client that sends ahead loses nothing by a
 * wait. A new connection may be an ordinary client's, and one that is idle can be
 * opened again.
 * Log event: `connections-closed`.
 */

/** Requests of a connection that are handled at a time. Clients that send ahead get their answers as fast as with more. */
const MAX_UNANSWERED = 8
/** Longer than the limits of gateways and entries for their own answers, whose log events name the request. */
const MAX_UNREAD_MS = 10_000
/** Time to send the rest of a body whose request is answered. */
const MAX_UNFINISHED_MS = 5000
/** Time to receive the last answer, before the connection is closed by force. */
const MAX_CLOSING_MS = 2000

/** Why a connection was closed, or not accepted. */
export enum CloseReason {
  /** The process has its maximum of connections, and this one had no request for the longest time. */
  IdleAtLimit = 'idle-at-limit',
  /** The process has its maximum of connections, all with requests. */
  AtLimit = 'at-limit',
  /** Its head takes more memory than is left. */
  HeadTooCostly = 'head-too-costly',
  /** What it sent ahead takes more memory than is left. */
  SentTooMuchAhead = 'sent-too-much-ahead',
  /** Its client does not take an answer. */
  AnswerUnread = 'answer-unread',
  /** Its client does not end a body that nobody reads. */
  BodyUnfinished = 'body-unfinished',
  /** Its client keeps a connection that this process has ended. */
  NotClosed = 'not-closed',
}

/** Memory of a connection and of all, as of now. */
export interface ConnectionMemory {
  /** Estimated memory of the head that has begun, in bytes. */
  headBytes: number
  /** Bytes after the requests that were read, which were received and not parsed. */
  aheadBytes: number
  /** What it takes of the memory that connections share, in bytes. */
  sharedBytes: number
  /** Whether none of that memory is left. */
  isMemoryFull: boolean
}

/** Whether more of a connection may be parsed that has so many unanswered requests, without one whose body is being read. */
export function acceptsMore({ unanswered, isMemoryFull }: { unanswered: number, isMemoryFull: boolean }): boolean {
  return unanswered === 0 || (unanswered < MAX_UNANSWERED && !isMemoryFull)
}

/** Why a connection is closed for lack of memory; undefined if it is not. */
export function closeForMemory({ headBytes, aheadBytes, sharedBytes, isMemoryFull }: ConnectionMemory): CloseReason | undefined {
  if (!isMemoryFull || sharedBytes === 0)
    return undefined
  if (headBytes > 0)
    return CloseReason.HeadTooCostly
  return aheadBytes > 0 ? CloseReason.SentTooMuchAhead : undefined
}

/** What a connection waits for its client to do. */
export enum ClientDuty {
  None,
  /** Take bytes of an answer. */
  Read,
  /** Send the rest of a body that nobody reads. */
  EndBody,
  /** Close a connection that this process has ended. */
  Close,
}

/** Why a connection is closed for which its client has left something to do for a time, in milliseconds; undefined if it is not. */
export function closeOverdue(duty: ClientDuty, overdueMs: number): CloseReason | undefined {
  if (duty === ClientDuty.Read && overdueMs >= MAX_UNREAD_MS)
    return CloseReason.AnswerUnread
  if (duty === ClientDuty.EndBody && overdueMs >= MAX_UNFINISHED_MS)
    return CloseReason.BodyUnfinished
  if (duty === ClientDuty.Close && overdueMs >= MAX_CLOSING_MS)
    return CloseReason.NotClosed
  return undefined
}
