/**
 * State of one stage call at a side, from its arrival until its result is
 * evicted, including the tokens produced so far.
 */
import type { LinkTokenListener } from '../../connection/link-call.js'
import type { StageCall, StageReply } from '../../connection/messages.js'
import { stageKey, StageReplyKind } from '../../connection/messages.js'
import { textBytes } from '../text-bytes.js'

/** A stage call at a side. */
export interface BackendRun {
  key: string
  call: StageCall
  /** Whether the backend server may have been called. */
  started: boolean
  cancelled: boolean
  tokens: string[]
  listeners: Set<LinkTokenListener>
  reply: Promise<StageReply>
  /** Resolves the reply. */
  resolve: (reply: StageReply) => void
  /** The reply, once the call has finished. */
  finished?: StageReply
  /** Cancels the call at the backend server. */
  abortController: AbortController
}

/** Creates the run of a newly arrived call. */
export function createRun(call: StageCall): BackendRun {
  let resolveReply!: (reply: StageReply) => void
  const reply = new Promise<StageReply>((resolve) => {
    resolveReply = resolve
  })
  return {
    key: stageKey(call.identity),
    call,
    started: false,
    cancelled: false,
    tokens: [],
    listeners: new Set(),
    reply,
    resolve: resolveReply,
    abortController: new AbortController(),
  }
}

/** Replays the tokens produced so far to a listener and subscribes it to further tokens while the call runs. */
export function addTokenListener(run: BackendRun, onToken: LinkTokenListener | undefined): void {
  if (!onToken)
    return
  run.tokens.forEach((text, index) => onToken(index, text))
  if (!run.finished)
    run.listeners.add(onToken)
}

/** Stores a token and sends it to all listeners. */
export function publishToken(run: BackendRun, text: string): void {
  const index = run.tokens.push(text) - 1
  for (const listener of run.listeners)
    listener(index, text)
}

/** Estimated memory of a finished run in bytes. */
export function estimateRunBytes(run: BackendRun): number {
  const output = run.finished?.kind === StageReplyKind.Done ? textBytes(run.finished.output) : 0
  return run.call.input.length + output
}
