/**
 * The platform's log over HTTP. Owns its connections until `close`. Makes each
 * call once: whether an append that is in doubt is made again is decided by
 * whoever knows what the record does.
 */
import type { Result } from 'ts-results-es'
import type { CallError } from '../version/call-error.js'
import type { LogClient, LogPage, LogReadOptions } from '../version/log.js'
import { Err, Ok } from 'ts-results-es'
import { Agent } from 'undici'
import * as z from 'zod'
import { CallFailure } from '../version/call-error.js'
import { logPageSchema } from '../version/log.js'
import { callJson } from './json-http.js'

const appendSchema = z.object({ offset: z.int().min(0) })

/** Options of the HTTP log client. */
export interface HttpLogClientOptions {
  url: string
  /**
   * Milliseconds until a call times out; a read that the log holds open gets that time on top.
   * @default 1000
   */
  timeoutMs?: number
}

/**
 * Milliseconds, for opening a connection and for a call where the options name
 * no time. Half would fail calls at a loaded log, twice would delay the move to
 * a peer's configuration by a second.
 */
const DEFAULT_TIMEOUT_MS = 1000

/** The log over HTTP. */
export class HttpLogClient implements LogClient {
  private readonly agent = new Agent({ connect: { timeout: DEFAULT_TIMEOUT_MS } })
  private readonly timeoutMs: number

  constructor(private readonly options: HttpLogClientOptions) {
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
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
    const parsed = logPageSchema.safeParse(answer.value)
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
