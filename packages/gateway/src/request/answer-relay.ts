/**
 * Passes one backend server's answer on: whole ones after they were read to
 * their end, streams by whole events as they come. What may have been cut
 * short is never framed as complete.
 */
import type { Result } from 'ts-results-es'
import type { BackendAnswer } from '../connection/backend-client.js'
import type { ClientAnswer } from '../connection/client-answer.js'
import type { Probe } from './silence-watch.js'
import { formatError } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { readBody } from './answer-body.js'
import { EventSplitter } from './event-splitter.js'
import { SilenceWatch } from './silence-watch.js'

/** A whole answer that was read to its end. */
export interface WholeAnswer {
  answer: BackendAnswer
  body: Buffer
}

/** Reads a whole answer; an error where it breaks off or the time runs out. */
export async function readWhole(answer: BackendAnswer, controller: AbortController, remainingMs: number): Promise<Result<WholeAnswer, string>> {
  const timer = setTimeout(() => controller.abort(), Math.max(1, remainingMs))
  try {
    return Ok({ answer, body: await readBody(answer.body) })
  }
  catch (error) {
    answer.destroy()
    return Err(formatError(error))
  }
  finally {
    clearTimeout(timer)
  }
}

/** Passes a whole answer on, with the framing that its backend server gave it. */
export function passWhole({ answer, body }: WholeAnswer, client: ClientAnswer): void {
  if (answer.framed)
    return client.sendWhole(answer.status, answer.headers, body)
  client.beginUnframed(answer.status, answer.headers)
  void client.send(body).then(() => client.end(), () => {})
}

/** What a stream's relay tells while it passes events on. */
export interface StreamListener {
  /** An event is about to be passed on. */
  event: (id: string | undefined) => void
}

/** Passes the events of one answer on; an error where it breaks off, is cut or the time runs out. */
export async function relayStream(answer: BackendAnswer, client: ClientAnswer, controller: AbortController, remainingMs: number, probe: Probe, listener: StreamListener): Promise<Result<void, string>> {
  const timer = setTimeout(() => controller.abort(), Math.max(1, remainingMs))
  const watch = new SilenceWatch(probe, () => controller.abort())
  try {
    const resumed = client.started
    beginStream(answer, client)
    await passEvents(answer, client, watch, listener)
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

async function passEvents(answer: BackendAnswer, client: ClientAnswer, watch: SilenceWatch, listener: StreamListener): Promise<void> {
  const splitter = new EventSplitter()
  for await (const bytes of answer.body) {
    watch.heard()
    for (const event of splitter.push(bytes)) {
      listener.event(event.id)
      await client.send(event.bytes)
    }
  }
  if (splitter.hasPartial)
    await client.send(splitter.partial)
}
