/**
 * One stage call at its side, from its arrival until its result is dropped, and
 * the tokens that it has produced so far.
 */
import type { LinkTokenListener } from '../../connection/link-call.js'
import type { StageCall, StageReply } from '../../connection/messages.js'
import { stageKey, StageReplyKind } from '../../connection/messages.js'
import { textBytes } from '../text-bytes.js'

/** One stage call at a side. */
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
  settle: (reply: StageReply) => void
  /** The reply, once it is there. */
  finished?: StageReply
  /** Stops the call at the backend server. */
  abort: AbortController
}

/** Creates the run of a call that has just come. */
export function createRun(call: StageCall): BackendRun {
  let settle!: (reply: StageReply) => void
  const reply = new Promise<StageReply>((resolve) => {
    settle = resolve
  })
  return {
    key: stageKey(call.identity),
    call,
    started: false,
    cancelled: false,
    tokens: [],
    listeners: new Set(),
    reply,
    settle,
    abort: new AbortController(),
  }
}

/** Sends a listener the tokens so far, and those to come while the call runs. */
export function addTokenListener(run: BackendRun, onToken: LinkTokenListener | undefined): void {
  if (!onToken)
    return
  run.tokens.forEach((text, index) => onToken(index, text))
  if (!run.finished)
    run.listeners.add(onToken)
}

/** Keeps a token and sends it to every listener. */
export function publishToken(run: BackendRun, text: string): void {
  const index = run.tokens.push(text) - 1
  for (const listener of run.listeners)
    listener(index, text)
}

/** Memory that a finished run is counted with, in bytes. */
export function sizeOf(run: BackendRun): number {
  const output = run.finished?.kind === StageReplyKind.Done ? textBytes(run.finished.output) : 0
  return run.call.input.length + output
}
