/**
 * The input of a stage, which carries the caller's own input to every stage, so
 * that a side can tell whose result it holds.
 */
import type { StageCall } from '../../connection/messages.js'
import * as z from 'zod'
import { parseJson } from '../../connection/answer.js'

const stageInputSchema = z.object({ input: z.string() })

/** The input of a stage: the caller's input and the previous stage's output. */
export function formatStageInput(input: string, previous: string | undefined): string {
  return JSON.stringify({ input, previous: previous ?? null })
}

/** Whether a stage call was made for a caller's input. */
export function carriesBody(call: StageCall, body: string): boolean {
  if (call.serviceRequest)
    return call.input === body
  return stageInputSchema.safeParse(parseJson(call.input)).data?.input === body
}
