/**
 * The one answer of a request, and its form between entries. Both directions
 * stand here, since two releases of entries talk to each other during a
 * rolling restart.
 */
import type { RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import { createError, ErrorKind, Ran } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import * as z from 'zod'

const UNKNOWN_FORM = 'Another entry answered in an unknown form; ask for the outcome with GET /v1/requests/{id}.'

const stageReportSchema = z.object({
  stage: z.string(),
  backend: z.string(),
  milliseconds: z.number(),
  cost: z.number(),
  attempts: z.int(),
})

const wholeAnswerSchema = z.object({
  requestId: z.string(),
  output: z.string(),
  stages: z.array(stageReportSchema),
  /** HTTP status of a plain service's answer. */
  status: z.int().optional(),
  contentType: z.string().optional(),
})

const requestErrorSchema = z.object({
  kind: z.enum(ErrorKind),
  message: z.string(),
  ran: z.enum(Ran),
  retryAfterMs: z.number().optional(),
})

const envelopeSchema = z.union([z.object({ whole: wholeAnswerSchema }), z.object({ error: requestErrorSchema })])

/** Where and how one stage ran. */
export type StageReport = z.infer<typeof stageReportSchema>

/** The whole answer of a request. */
export type WholeAnswer = z.infer<typeof wholeAnswerSchema>

/** The one answer of a request. */
export type RequestAnswer = Result<WholeAnswer, RequestError>

/** Formats an answer for another entry. */
export function formatAnswer(answer: RequestAnswer): string {
  return JSON.stringify(answer.isOk() ? { whole: answer.value } : { error: answer.error })
}

/** Reads an answer from another entry. */
export function parseAnswer(text: string): RequestAnswer {
  const parsed = envelopeSchema.safeParse(parseJson(text))
  if (!parsed.success)
    return Err(createError(ErrorKind.OutcomeUnknown, UNKNOWN_FORM))
  return 'whole' in parsed.data ? Ok(parsed.data.whole) : Err(parsed.data.error)
}

/** Parses JSON that came from outside; undefined where the text is none, which no schema accepts. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  }
  catch {
    // The reason is not logged: each caller answers with an error that says what form is wanted.
    return undefined
  }
}
