/**
 * Reconstructs the timeline of one request from structured gateway logs: one
 * JSON object per line, after an optional prefix that a log collector added.
 * Every line must have the fields `time`, `event` and `process`; `request` or
 * `requests` (comma-separated ids) identify the requests that it is about, and
 * `resumes` the one whose stream they resume. All
 * other fields are printed unchanged, except the failure domain
 * (`failureDomain`; `zone` in logs of older releases), which is the same in all
 * lines of a process. Only the lines of the request are kept in memory.
 */
import type { LogFields } from '@eidermast/common'
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { formatLine } from '@eidermast/common'
import * as z from 'zod'

/** File name that denotes standard input. */
const STANDARD_INPUT = '-'

const valueSchema = z.union([z.string(), z.number(), z.boolean(), z.undefined()])
const lineSchema = z.object({
  time: z.iso.datetime(),
  event: z.string(),
  process: z.string(),
}).catchall(valueSchema)

/** A parsed log line. */
export interface LogLine {
  /** Milliseconds since the epoch, by the clock of the process that logged the line. */
  at: number
  process: string
  event: string
  fields: LogFields
}

/** The log lines about a request. */
export interface RequestTimeline {
  /** Sorted by time. */
  lines: LogLine[]
  /** Number of non-empty lines that were read. */
  read: number
  /** Number of lines that are not gateway log lines. */
  skipped: number
}

/** Parses a log line; undefined if it is not a gateway log line. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{')
  if (start < 0)
    return undefined
  try {
    const { time, event, process, zone, failureDomain, ...fields } = lineSchema.parse(JSON.parse(text.slice(start)))
    return { at: Date.parse(time), process, event, fields }
  }
  catch {
    // Log collectors mix in lines of other programs; the caller counts them as skipped.
    return undefined
  }
}

/** Whether a line is about a request: alone, as part of a batched call, or as the one whose stream another request resumes. */
function mentionsRequest(line: LogLine, requestId: string): boolean {
  const { request, requests, resumes } = line.fields
  return request === requestId || resumes === requestId || (typeof requests === 'string' && requests.split(',').includes(requestId))
}

/** Collects the log lines about a request. */
export async function readTimeline(requestId: string, texts: AsyncIterable<string>): Promise<RequestTimeline> {
  const timeline: RequestTimeline = { lines: [], read: 0, skipped: 0 }
  for await (const text of texts) {
    if (text.trim() === '')
      continue
    timeline.read++
    const line = parseLogLine(text)
    if (!line)
      timeline.skipped++
    else if (mentionsRequest(line, requestId))
      timeline.lines.push(line)
  }
  timeline.lines.sort((left, right) => left.at - right.at)
  return timeline
}

/** Yields the lines of the files in order; throws if a file cannot be read. */
export async function* readLines(files: readonly string[]): AsyncGenerator<string> {
  for (const file of files) {
    const input = file === STANDARD_INPUT ? process.stdin : createReadStream(file)
    yield* createInterface({ input, crlfDelay: Number.POSITIVE_INFINITY })
  }
}

/** Formats a timeline with times in milliseconds since its first line. */
export function formatTimeline({ lines }: RequestTimeline): string[] {
  const firstAt = lines[0]?.at ?? 0
  const lastAt = lines.at(-1)?.at ?? 0
  const width = String(lastAt - firstAt).length
  return lines.map(({ at, process, event, fields }) => {
    const elapsedMs = String(at - firstAt).padStart(width)
    const line = formatLine(event, { ...fields, requests: undefined, request: undefined })
    return `${elapsedMs} ms  ${process}  ${line}`
  })
}
