/**
 * Decides whether a request without stages is sent to a backend server now,
 * waits in the gateway's queue, or is refused.
 *
 * Load: a service is asked for more than it can answer in time: bursts, backend
 * servers that are few or slow, one client account with many requests.
 *
 * Inputs: requests, slots, service time and wait (ms) of the best backend server
 * that takes a request now (load-estimator.ts, as old as its reports); when the
 * first one takes a request if none does (ms); what is left of the request's
 * target and deadline (ms); requests of the gateway that go before it; how often
 * the gateway sends one, and what its calls take (ms, recent mean); whether the
 * account is beyond its share; slots of the service and number of gateways.
 * Rule: the first in the queue is sent where a slot is free, or where its wait at
 * the backend server is a small part of its target; by a gateway that uses less
 * than an equal part, wherever it is in time. Others wait if they are expected to
 * be answered within their target. What cannot be in time is refused at once, as
 * are requests of an account beyond its share. The first in the queue, and
 * those that have waited for EARLY_SHARE of their target, are refused only if they
 * miss their deadline. One whose deadline has passed is never sent.
 * Why: a request that waits at a backend server can be neither passed by a more
 * urgent one nor moved, and wastes a slot if its client leaves; one that waits
 * here can. Gateways whose calls end often know the newest loads and would keep
 * all slots, if the others did not go by their part. A refusal is worth most while
 * its client still has time to return, and nothing if the one that is sent instead
 * is as late.
 * Log event: `admission`.
 */
import type { BackendEstimate } from '../load/load-estimator.js'

/** Share of its target that a request may wait at a backend server. Keeps slots busy between two load reports, at the cost of order. */
const BACKEND_WAIT_SHARE = 0.25
/** Requests of other accounts that are expected to go first for each one ahead of the own account: those that arrive later get turns, too. */
const OVERTAKEN_BY = 0.5
/** Share of its target during which a request that waits may be refused for missing the target: its client can still return in time. */
const EARLY_SHARE = 0.125
/** Where the service time alone nearly uses up the target, a request may take this multiple of it. */
const MIN_SERVICE_TIMES = 2

/** How a request is admitted. */
export enum AdmissionAction {
  Send = 'send',
  Wait = 'wait',
  Refuse = 'refuse',
}

/** Why. */
export enum AdmissionReason {
  FreeSlot = 'free-slot',
  /** The wait at the backend server is short. */
  ShortWait = 'short-wait',
  /** There is no room now, but there will be in time. */
  RoomInTime = 'room-in-time',
  /** It is the next one or has waited, and is expected before its deadline. */
  RoomBeforeDeadline = 'room-before-deadline',
  /** Its deadline has passed while it waited, or before it arrived. */
  Expired = 'expired',
  /** It cannot be answered in time. */
  TooLate = 'too-late',
  /** Its account is beyond its share while the service is overloaded. */
  OverShare = 'over-share',
  /** The service has no backend server that accepts work. */
  NoBackend = 'no-backend',
}

/** What the gateway's own calls of the service show, in milliseconds. */
export interface ServicePace {
  /** Requests that it has sent and that have not ended. */
  inFlight: number
  /** Mean time between two requests that it sends; undefined if it has none in flight. */
  sendIntervalMs: number | undefined
  /** Mean time of its recent requests from sending to their end; undefined before the first. */
  callMs: number | undefined
  /** Time for which it has sent none although one waited. */
  stalledMs: number
}

/** Inputs of the decision; times are in milliseconds. */
export interface AdmissionInputs {
  /** The backend server with the shortest expected time; undefined if none takes a request now. */
  best: BackendEstimate | undefined
  /** Time until the first backend server takes a request; Infinity if none accepts work. Not read if `best` is given. */
  opensInMs: number
  /** Target latency of the route. */
  targetLatencyMs: number
  /** Time since the request arrived. */
  waitedMs: number
  /** Time until the request's deadline, or until its client gives up waiting for a first event. */
  deadlineMs: number
  /** Waiting requests that go before this one. */
  ahead: number
  /** Those of them that are of the same account. */
  aheadOfAccount: number
  pace: ServicePace
  /** Slots of the backend servers that take a request now, divided by the number of gateways. */
  slotsPerGateway: number
  /** Whether it exceeds the share of its account. */
  isOverShare: boolean
  streaming: boolean
}

/** A decision with its reason and estimates. */
export interface RequestAdmissionDecision {
  action: AdmissionAction
  reason: AdmissionReason
  /** Expected time until the answer, in milliseconds. */
  expectedMs: number
  /** For a refusal: expected time until there is room, in milliseconds. */
  roomMs: number
}

/** Decides on one request. */
export function decideRequestAdmission(inputs: AdmissionInputs): RequestAdmissionDecision {
  const { best, ahead } = inputs
  if (!best && !Number.isFinite(inputs.opensInMs))
    return { action: AdmissionAction.Refuse, reason: AdmissionReason.NoBackend, expectedMs: Number.POSITIVE_INFINITY, roomMs: 0 }
  if (inputs.deadlineMs <= 0)
    return { action: AdmissionAction.Refuse, reason: AdmissionReason.Expired, expectedMs: 0, roomMs: 0 }
  if (best && ahead === 0 && hasFreeSlot(best))
    return { action: AdmissionAction.Send, reason: AdmissionReason.FreeSlot, expectedMs: best.serviceMs ?? 0, roomMs: 0 }
  const queueMs = expectedQueueMs(inputs)
  if (inputs.isOverShare)
    return { action: AdmissionAction.Refuse, reason: AdmissionReason.OverShare, expectedMs: queueMs + expectedAnswerMs(inputs), roomMs: queueMs }
  if (best && ahead === 0 && (isWaitShort(inputs) || isBelowPart(inputs)))
    return { action: AdmissionAction.Send, reason: AdmissionReason.ShortWait, expectedMs: (best.waitMs ?? 0) + (best.serviceMs ?? 0), roomMs: 0 }
  return decideWait(inputs, queueMs)
}

/** Decides on a request that cannot be sent now. */
function decideWait(inputs: AdmissionInputs, queueMs: number): RequestAdmissionDecision {
  const expectedMs = queueMs + expectedAnswerMs(inputs)
  const inTimeMs = Math.min(inputs.deadlineMs, timeForTargetMs(inputs))
  if (expectedMs <= inTimeMs)
    return { action: AdmissionAction.Wait, reason: AdmissionReason.RoomInTime, expectedMs, roomMs: 0 }
  const maySkipTarget = inputs.ahead === 0 || inputs.waitedMs > inputs.targetLatencyMs * EARLY_SHARE
  if (maySkipTarget && expectedMs <= inputs.deadlineMs)
    return { action: AdmissionAction.Wait, reason: AdmissionReason.RoomBeforeDeadline, expectedMs, roomMs: 0 }
  return { action: AdmissionAction.Refuse, reason: AdmissionReason.TooLate, expectedMs, roomMs: Math.max(0, expectedMs - inTimeMs) }
}

function hasFreeSlot({ requests, slots }: BackendEstimate): boolean {
  return requests < slots
}

/** Whether the wait at the best backend server is short, as estimated and as recent calls show: estimates miss load that is not reported. */
function isWaitShort({ best, pace, streaming, targetLatencyMs }: AdmissionInputs): boolean {
  if (best?.waitMs === undefined || best.serviceMs === undefined || best.isFull)
    return false
  const observedMs = streaming || pace.callMs === undefined ? 0 : pace.callMs - best.serviceMs
  return Math.max(best.waitMs, observedMs) <= targetLatencyMs * BACKEND_WAIT_SHARE
}

/** Whether this gateway uses less than an equal part of the slots and short waits, and the request is expected in time at a backend server. */
function isBelowPart({ best, pace, slotsPerGateway, targetLatencyMs, waitedMs }: AdmissionInputs): boolean {
  if (best?.waitMs === undefined || best.serviceMs === undefined || best.isFull)
    return false
  const part = slotsPerGateway * (1 + targetLatencyMs * BACKEND_WAIT_SHARE / best.serviceMs)
  return pace.inFlight < part && best.waitMs + best.serviceMs <= targetLatencyMs - waitedMs
}

/** Expected time until the request is sent: until those ahead were sent, and a backend server takes it. */
function expectedQueueMs({ best, opensInMs, ahead, aheadOfAccount, pace, targetLatencyMs }: AdmissionInputs): number {
  const before = ahead + aheadOfAccount * OVERTAKEN_BY
  const firstMs = best ? Math.max(0, (best.waitMs ?? 0) - targetLatencyMs * BACKEND_WAIT_SHARE) : opensInMs
  if (pace.sendIntervalMs === undefined)
    return Math.max(firstMs, pace.stalledMs) + before * Math.max(best?.serviceMs ?? 0, pace.stalledMs)
  return (best ? 0 : opensInMs) + pace.stalledMs + (before + 1) * pace.sendIntervalMs
}

/** Expected time from sending the request to its answer, or to the first event of a stream. */
function expectedAnswerMs({ best, pace, streaming }: AdmissionInputs): number {
  const serviceMs = best?.serviceMs ?? 0
  return streaming ? serviceMs : Math.max(serviceMs, pace.callMs ?? 0)
}

/** Time within which the request counts as in time. */
function timeForTargetMs({ best, targetLatencyMs, waitedMs }: AdmissionInputs): number {
  return Math.max(targetLatencyMs, (best?.serviceMs ?? 0) * MIN_SERVICE_TIMES) - waitedMs
}
