/**
 * The story of one request, from the structured log lines of gateways: JSON
 * objects, one a line, whatever a collector has put before them.
 */
import type { LogFields } from '@eidermast/common'
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { formatLine } from '@eidermast/common'
import { z } from 'zod'

/** Stands for standard input among the names of files. */
export const STANDARD_INPUT = '-'

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
    return undefined
  }
}

/** Whether a line speaks of a request, alone or among others of one call. */
export function concerns(line: StoryLine, requestId: string): boolean {
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
export function formatStory(story: RequestStory): string[] {
  const begin = story.lines[0]?.at ?? 0
  const width = String((story.lines.at(-1)?.at ?? 0) - begin).length
  return story.lines.map(({ at, process, event, fields }) => `${String(at - begin).padStart(width)} ms  ${process}  ${formatLine(event, { ...fields, requests: undefined, request: undefined })}`)
}
