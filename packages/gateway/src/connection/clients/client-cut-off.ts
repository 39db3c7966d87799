/**
 * Decides when a client is cut off that does not read its answer, or does not
 * send the rest of its body.
 *
 * Answers this load: clients that stop and keep their connection, so that memory
 * and a call to a backend server are held for nobody.
 * Inputs: bytes that wait for the client, bytes that it has taken or sent so far,
 * whether it is the turn of this transfer on its connection (as of now); the time
 * since the last look (ms).
 * Rule: a client for which bytes wait and that moves none is cut off after
 * MAX_STALL_MS. Whatever it takes or sends starts the time anew. A look that comes
 * late, after a pause of this process, counts as one that came in time.
 * Why: a limit on the whole transfer would cut off clients on slow links. A byte
 * of an answer counts as taken once the kernel has it: what fills the kernel's
 * send buffer takes no memory of this process, and later progress shows only as
 * the kernel takes more, which may be a third of that buffer at a time.
 * Log events: `client-cut-off`, `body-stalled`.
 */

/**
 * Clients leave a stream that brings nothing for some seconds, and backend servers
 * cut off an answer that is left unread for some seconds; nobody gains by a longer
 * wait.
 */
export const MAX_STALL_MS = 5000
/** Interval of looks. Short beside MAX_STALL_MS, so that a client is cut off soon after it. */
export const CHECK_INTERVAL_MS = 250
/** Longest time that one look counts for. */
const MAX_COUNTED_MS = 2 * CHECK_INTERVAL_MS

/** A transfer to or from a client as of one look. */
export interface TransferProgress {
  /** Bytes that wait for the client. */
  waitingBytes: number
  /** Bytes that the client has taken or sent. */
  movedBytes: number
  /** False while answers before it on the same connection are not finished. */
  hasTurn: boolean
}

/** What is known from earlier looks. */
export interface StallState {
  movedBytes: number
  /** Whether bytes waited for the client at the last look. */
  wasWaiting: boolean
  /** Milliseconds for which the client has moved nothing, by the looks. */
  stalledMs: number
}

/** The state of a transfer that begins. */
export const NOT_STALLED: StallState = { movedBytes: 0, wasWaiting: false, stalledMs: 0 }

/** The state after a look, and whether the client is cut off. */
export interface CutOffDecision extends StallState {
  cutOff: boolean
}

/** Decides about one transfer; `elapsedMs` is the time since the last look. */
export function decideCutOff(transfer: TransferProgress, before: StallState, elapsedMs: number): CutOffDecision {
  const movedBytes = Math.max(transfer.movedBytes, before.movedBytes)
  const wasWaiting = transfer.waitingBytes > 0 && transfer.hasTurn
  if (!wasWaiting || !before.wasWaiting || movedBytes > before.movedBytes)
    return { movedBytes, wasWaiting, stalledMs: 0, cutOff: false }
  const stalledMs = before.stalledMs + Math.min(elapsedMs, MAX_COUNTED_MS)
  return { movedBytes, wasWaiting, stalledMs, cutOff: stalledMs >= MAX_STALL_MS }
}
