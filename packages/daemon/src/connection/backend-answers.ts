/**
 * Reads what a backend server answers to a run, and classifies how it ended.
 * An error that is thrown here means that the connection was lost or that the
 * answer was not in the protocol's form.
 */
import type { Dispatcher } from 'undici'
import type { BackendResult } from './backend-client.js'
import { createInterface } from 'node:readline'
import * as z from 'zod'
import { BackendOutcome } from './backend-client.js'
import { isNotConnected } from './json-http.js'

const runAnswerSchema = z.object({ output: z.string(), tokens: z.int().min(0).default(0) })
const streamLineSchema = z.union([
  z.object({ token: z.string() }),
  z.object({ done: z.literal(true), output: z.string(), tokens: z.int().min(0) }),
])

/** First status by which a plain service says that it failed. */
const SERVER_ERROR = 500
/** Statuses by which a backend server says that it has not started the run. */
const NOT_STARTED_STATUSES = new Set([409, 429, 503])

/** Reads the answer to a run without a stream. */
export async function readRunAnswer(response: Dispatcher.ResponseData): Promise<BackendResult> {
  const answer = runAnswerSchema.safeParse(await response.body.json())
  if (!answer.success)
    return createFailure(BackendOutcome.Failed, 'the backend server answered in an unknown form')
  return { outcome: BackendOutcome.Done, message: '', ...answer.data }
}

/** Reads tokens line by line; whole only with the end mark and every token it counts. */
export async function readTokenStream(response: Dispatcher.ResponseData, onToken: (text: string) => void): Promise<BackendResult> {
  let received = 0
  for await (const line of createInterface({ input: response.body })) {
    const message = streamLineSchema.parse(JSON.parse(line))
    if ('token' in message) {
      received++
      onToken(message.token)
      continue
    }
    if (message.tokens !== received)
      return createFailure(BackendOutcome.Truncated, `the stream held ${received} of ${message.tokens} tokens`)
    return { outcome: BackendOutcome.Done, output: message.output, tokens: message.tokens, message: '' }
  }
  return createFailure(BackendOutcome.Truncated, 'the stream ended before its end mark')
}

/** Reads the answer of a plain service, whose statuses below 500 are answers like any other. */
export async function readServiceAnswer(response: Dispatcher.ResponseData): Promise<BackendResult> {
  const status = response.statusCode
  if (status >= SERVER_ERROR) {
    await response.body.dump()
    return createFailure(BackendOutcome.Failed, `the service answered with status ${status}`)
  }
  const header = response.headers['content-type']
  const contentType = typeof header === 'string' ? header : undefined
  const output = await response.body.text()
  return { outcome: BackendOutcome.Done, output, tokens: 0, message: '', status, contentType }
}

/** What a status other than 200 says of a run. */
export async function describeStatus(response: Dispatcher.ResponseData): Promise<BackendResult> {
  await response.body.dump()
  const outcome = NOT_STARTED_STATUSES.has(response.statusCode) ? BackendOutcome.Refused : BackendOutcome.Failed
  return createFailure(outcome, `the backend server answered with status ${response.statusCode}`)
}

/** What an error that was thrown during a call says of the run. */
export function describeThrown(error: unknown, signal: AbortSignal): BackendResult {
  const message = error instanceof Error ? error.message : String(error)
  if (signal.aborted)
    return createFailure(BackendOutcome.Stopped, message)
  return createFailure(isNotConnected(error) ? BackendOutcome.Refused : BackendOutcome.Lost, message)
}

function createFailure(outcome: BackendOutcome, message: string): BackendResult {
  return { outcome, output: '', tokens: 0, message }
}
