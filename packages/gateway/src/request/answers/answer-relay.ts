/**
 * Passes one backend server's answer on: whole ones after they were read to
 * their end, streams by whole events as they come. What may have been cut
 * short is never framed as complete. It holds a whole answer's bytes until
 * they are sent, and of a stream the event that isn't complete yet; both are
 * lost with the process, whose connections break.
 */
import type { Result } from 'ts-results-es'
import type { BackendAnswer } from '../../connection/backends/backend-client.js'
import type { ClientAnswer } from '../../connection/clients/client-answer.js'
import type { Probe } from './silence-watch.js'
import { formatError } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { BodyFailureKind, readBody } from '../../connection/body-reader.js'
import { atLeastOne } from '../deadlines.js'
import { EventSplitter } from './event-splitter.js'
import { SilenceWatch } from './silence-watch.js'

/**
 * Bytes; a larger whole answer counts as broken, since it is held in memory
 * until its end. Half could refuse large answers, twice lets a few of them fill
 * the process's memory.
 */
const MAX_WHOLE_ANSWER_BYTES = 8_000_000

/** A whole answer that was read to its end. */
export interface WholeAnswer {
  answer: BackendAnswer
  body: Buffer
}

/** Reads a whole answer; an error where it breaks off, is too large or the time in milliseconds is over. */
export async function readWhole(
  answer: BackendAnswer,
  controller: AbortController,
  remainingMs: number,
): Promise<Result<WholeAnswer, string>> {
  const timer = setTimeout(() => controller.abort(), atLeastOne(remainingMs))
  const body = await readBody(answer.body, MAX_WHOLE_ANSWER_BYTES)
  clearTimeout(timer)
  if (body.isErr()) {
    answer.destroy()
    return Err(body.error.kind === BodyFailureKind.TooLarge ? `the answer is ${body.error.message}` : body.error.message)
  }
  return Ok({ answer, body: body.value })
}

/** Passes a whole answer on, with the framing that its backend server gave it. */
export function passWhole({ answer, body }: WholeAnswer, client: ClientAnswer): void {
  if (answer.framed)
    return client.sendWhole(answer.status, answer.headers, body)
  client.beginUnframed(answer.status, answer.headers)
  // Sending fails only where the client left: nobody waits for the rest.
  void client.send(body).then(() => client.end(), () => {})
}

/** What the relay of a stream works with. */
export interface RelayParts {
  /** Aborts the call when the time is over or the backend server is silent. */
  controller: AbortController
  /** Milliseconds until the request's deadline. */
  remainingMs: number
  probe: Probe
  /** An event is about to be passed on. */
  onEvent: (id: string | undefined) => void
}

/** Passes the events of one answer on; an error where it breaks off, is cut or the time is over. */
export async function relayStream(answer: BackendAnswer, client: ClientAnswer, parts: RelayParts): Promise<Result<void, string>> {
  const { controller } = parts
  const timer = setTimeout(() => controller.abort(), atLeastOne(parts.remainingMs))
  const watch = new SilenceWatch(parts.probe, () => controller.abort())
  try {
    const resumed = client.started
    beginStream(answer, client)
    await passEvents(answer, client, watch, parts.onEvent)
    if (resumed && !answer.framed)
      return Err('the rest of the stream came without a length: its end cannot be told from a cut')
    client.end()
    return Ok(undefined)
  }
  catch (error) {
    answer.destroy()
    return Err(formatError(error))
  }
  finally {
    clearTimeout(timer)
    watch.stop()
  }
}

function beginStream(answer: BackendAnswer, client: ClientAnswer): void {
  if (client.started)
    return
  if (answer.framed)
    client.begin(answer.status, answer.headers)
  else
    client.beginUnframed(answer.status, answer.headers)
}

async function passEvents(
  answer: BackendAnswer,
  client: ClientAnswer,
  watch: SilenceWatch,
  onEvent: RelayParts['onEvent'],
): Promise<void> {
  const splitter = new EventSplitter()
  for await (const bytes of answer.body) {
    watch.heard()
    for (const event of splitter.push(bytes)) {
      onEvent(event.id)
      await client.send(event.bytes)
    }
  }
  if (splitter.hasPartial)
    await client.send(splitter.partial)
}
