/**
 * The platform's append-only log, as the system sees it.
 */
import type { Result } from 'ts-results-es'
import type { CallError } from './json-http.js'
import { Err, Ok } from 'ts-results-es'
import { Agent } from 'undici'
import { z } from 'zod'
import { CallFailure, callJson } from './json-http.js'

export { CallFailure as AppendFailure } from './json-http.js'

const recordSchema = z.object({ offset: z.int().min(0), time: z.number(), value: z.unknown() })
const pageSchema = z.object({ records: z.array(recordSchema), firstOffset: z.int().min(0), nextOffset: z.int().min(0) })
const appendSchema = z.object({ offset: z.int().min(0) })

/** One record of a stream. */
export type LogRecord = z.infer<typeof recordSchema>

/** Records of a stream in offset order, and the stream's bounds. */
export type LogPage = z.infer<typeof pageSchema>

/** Which records to read. */
export interface LogReadOptions {
  stream: string
  from: number
  limit: number
  /** Milliseconds for which the log may hold the read open while nothing is new. */
  waitMs: number
}

/** A client of the platform's log. */
export interface LogClient {
  /** Appends records in one append; returns the first one's offset. */
  append: (stream: string, values: unknown[], signal?: AbortSignal) => Promise<Result<number, CallError>>
  /** Reads records from an offset on. */
  read: (options: LogReadOptions, signal?: AbortSignal) => Promise<Result<LogPage, CallError>>
  /** Closes the client's connections. */
  close: () => Promise<void>
}

/** Options of the HTTP log client. */
export interface HttpLogClientOptions {
  url: string
  /**
   * Milliseconds until a call is given up.
   * @default 1000
   */
  timeoutMs?: number
}

/** The log over HTTP. */
export class HttpLogClient implements LogClient {
  private readonly agent = new Agent({ connect: { timeout: 1000 } })
  private readonly timeoutMs: number

  constructor(private readonly options: HttpLogClientOptions) {
    this.timeoutMs = options.timeoutMs ?? 1000
  }

  async append(stream: string, values: unknown[], signal?: AbortSignal): Promise<Result<number, CallError>> {
    const answer = await callJson({
      method: 'POST',
      url: this.streamUrl(stream),
      body: { records: values },
      timeoutMs: this.timeoutMs,
      signal,
      dispatcher: this.agent,
    })
    if (answer.isErr())
      return answer
    const parsed = appendSchema.safeParse(answer.value)
    if (!parsed.success)
      return Err({ failure: CallFailure.InDoubt, message: 'the log acknowledged an append in an unknown form' })
    return Ok(parsed.data.offset)
  }

  async read(options: LogReadOptions, signal?: AbortSignal): Promise<Result<LogPage, CallError>> {
    const query = `from=${options.from}&limit=${options.limit}&waitMs=${options.waitMs}`
    const answer = await callJson({
      method: 'GET',
      url: `${this.streamUrl(options.stream)}?${query}`,
      timeoutMs: this.timeoutMs + options.waitMs,
      signal,
      dispatcher: this.agent,
    })
    if (answer.isErr())
      return answer
    const parsed = pageSchema.safeParse(answer.value)
    if (!parsed.success)
      return Err({ failure: CallFailure.InDoubt, message: 'the log answered a read in an unknown form' })
    return Ok(parsed.data)
  }

  async close(): Promise<void> {
    await this.agent.destroy()
  }

  private streamUrl(stream: string): string {
    return `${this.options.url}/streams/${encodeURIComponent(stream)}/records`
  }
}
