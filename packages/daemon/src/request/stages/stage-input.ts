/**
 * Formats stage inputs. Each contains the caller's input, which lets a side match
 * a stored result with the request that it belongs to.
 */
import type { StageCall } from '../../connection/messages.js'
import * as z from 'zod'
import { parseJson } from '../../connection/answer.js'

const stageInputSchema = z.object({ input: z.string() })

/** Formats the input of a stage from the caller's input and the output of the previous stage. */
export function formatStageInput(input: string, previous: string | undefined): string {
  return JSON.stringify({ input, previous: previous ?? null })
}

/** Whether a stage call belongs to a request with the given body. */
export function matchesBody(call: StageCall, body: string): boolean {
  if (call.serviceRequest)
    return call.input === body
  return stageInputSchema.safeParse(parseJson(call.input)).data?.input === body
}
