/**
 * The final answer to a request and its wire format between entries. Formatting
 * and parsing are kept together because entries of two releases communicate
 * during a rolling restart.
 */
import type { RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import { createError, ErrorKind, Ran } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import * as z from 'zod'

const UNKNOWN_FORMAT_MESSAGE = 'Another entry returned an answer in an unknown format; query the outcome with GET /v1/requests/{id}.'

const stageReportSchema = z.object({
  stage: z.string(),
  backend: z.string(),
  milliseconds: z.number(),
  cost: z.number(),
  attempts: z.int(),
})

const successfulAnswerSchema = z.object({
  requestId: z.string(),
  output: z.string(),
  stages: z.array(stageReportSchema),
  /** HTTP status of a plain service's response. */
  status: z.int().optional(),
  contentType: z.string().optional(),
})

const requestErrorSchema = z.object({
  kind: z.enum(ErrorKind),
  message: z.string(),
  ran: z.enum(Ran),
  retryAfterMs: z.number().optional(),
})

const envelopeSchema = z.union([z.object({ whole: successfulAnswerSchema }), z.object({ error: requestErrorSchema })])

/** Where one stage ran, and its duration, cost and attempts. */
export type StageReport = z.infer<typeof stageReportSchema>

/** The answer to a request that succeeded. */
export type SuccessfulAnswer = z.infer<typeof successfulAnswerSchema>

/** The final answer to a request: its result or an error. */
export type RequestAnswer = Result<SuccessfulAnswer, RequestError>

/** Serializes an answer for another entry. */
export function formatAnswer(answer: RequestAnswer): string {
  return JSON.stringify(answer.isOk() ? { whole: answer.value } : { error: answer.error })
}

/** Parses an answer received from another entry. */
export function parseAnswer(text: string): RequestAnswer {
  const parsed = envelopeSchema.safeParse(parseJson(text))
  if (!parsed.success)
    return Err(createError(ErrorKind.OutcomeUnknown, UNKNOWN_FORMAT_MESSAGE))
  return 'whole' in parsed.data ? Ok(parsed.data.whole) : Err(parsed.data.error)
}

/** Parses untrusted JSON. Returns undefined, which no schema accepts, if the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  }
  catch {
    // The reason is not logged: each caller responds with an error that describes the expected format.
    return undefined
  }
}
