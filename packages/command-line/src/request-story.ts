/**
 * The story of one request, from the structured log lines of gateways: JSON
 * objects, one a line, whatever a collector has put before them. Of the lines
 * it relies on `time`, `event` and `process`, and on `request` or `requests`
 * (ids separated by commas) to find those of the request. Every other field is
 * printed as it is, but the failure domain (`failureDomain`; `zone` in lines of
 * older releases), which is the same in all lines of a process. It keeps the
 * lines of one request in memory, no others.
 */
import type { LogFields } from '@eidermast/common'
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { formatLine } from '@eidermast/common'
import * as z from 'zod'

/** Stands for standard input among the names of files. */
const STANDARD_INPUT = '-'

const valueSchema = z.union([z.string(), z.number(), z.boolean(), z.undefined()])
const lineSchema = z.object({
  time: z.iso.datetime(),
  event: z.string(),
  process: z.string(),
}).catchall(valueSchema)

/** One log line that speaks of the request. */
export interface StoryLine {
  /** Milliseconds since the epoch, by the clock of the process. */
  at: number
  process: string
  event: string
  fields: LogFields
}

/** What was found about a request. */
export interface RequestStory {
  /** In order of time. */
  lines: StoryLine[]
  /** Lines that were read. */
  read: number
  /** Lines that are no log lines of a gateway. */
  skipped: number
}

/** Reads one log line; undefined where it is none. */
export function parseLogLine(text: string): StoryLine | undefined {
  const start = text.indexOf('{')
  if (start < 0)
    return undefined
  try {
    const { time, event, process, zone, failureDomain, ...fields } = lineSchema.parse(JSON.parse(text.slice(start)))
    return { at: Date.parse(time), process, event, fields }
  }
  catch {
    // Nothing is lost: collectors mix in lines of other programs, and the caller counts each as skipped.
    return undefined
  }
}

/** Whether a line speaks of a request, alone or among others of one call. */
function concerns(line: StoryLine, requestId: string): boolean {
  const { request, requests } = line.fields
  return request === requestId || (typeof requests === 'string' && requests.split(',').includes(requestId))
}

/** Collects the lines about a request. */
export async function readStory(requestId: string, texts: AsyncIterable<string>): Promise<RequestStory> {
  const story: RequestStory = { lines: [], read: 0, skipped: 0 }
  for await (const text of texts) {
    if (text.trim() === '')
      continue
    story.read++
    const line = parseLogLine(text)
    if (!line)
      story.skipped++
    else if (concerns(line, requestId))
      story.lines.push(line)
  }
  story.lines.sort((left, right) => left.at - right.at)
  return story
}

/** The lines of files, one file after the other; throws where one cannot be read. */
export async function* readLines(files: readonly string[]): AsyncGenerator<string> {
  for (const file of files) {
    const input = file === STANDARD_INPUT ? process.stdin : createReadStream(file)
    yield* createInterface({ input, crlfDelay: Number.POSITIVE_INFINITY })
  }
}

/** Formats a story, with times in milliseconds since its first line. */
export function formatStory({ lines }: RequestStory): string[] {
  const beginAt = lines[0]?.at ?? 0
  const lastAt = lines.at(-1)?.at ?? 0
  const width = String(lastAt - beginAt).length
  return lines.map(({ at, process, event, fields }) => {
    const elapsedMs = String(at - beginAt).padStart(width)
    const line = formatLine(event, { ...fields, requests: undefined, request: undefined })
    return `${elapsedMs} ms  ${process}  ${line}`
  })
}
