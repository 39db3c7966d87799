/**
 * HTTP client of the platform's log. Owns its connections until `close`. Does not
 * retry: only the caller knows the effect of a record and can decide whether to
 * repeat an append that is in doubt.
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

export interface HttpLogClientOptions {
  url: string
  /**
   * Timeout of a call in milliseconds. For reads that the log holds open, the wait time is added to it.
   * @default 1000
   */
  timeoutMs?: number
}

/**
 * Connect timeout, and default timeout of a call. Leaves time for a loaded log to
 * respond, at the cost of a later fallback to a peer's configuration.
 */
const DEFAULT_TIMEOUT_MS = 1000

/** HTTP client of the log. */
export class HttpLogClient implements LogClient {
  private readonly agent = new Agent({ connect: { timeout: DEFAULT_TIMEOUT_MS } })
  private readonly timeoutMs: number

  constructor(private readonly options: HttpLogClientOptions) {
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
  }

  async append(stream: string, values: unknown[], signal?: AbortSignal): Promise<Result<number, CallError>> {
    const response = await callJson({
      method: 'POST',
      url: this.streamUrl(stream),
      body: { records: values },
      timeoutMs: this.timeoutMs,
      signal,
      dispatcher: this.agent,
    })
    if (response.isErr())
      return response
    const parsed = appendSchema.safeParse(response.value)
    if (!parsed.success)
      return Err({ failure: CallFailure.InDoubt, message: 'the log acknowledged an append in an unknown format' })
    return Ok(parsed.data.offset)
  }

  async read(options: LogReadOptions, signal?: AbortSignal): Promise<Result<LogPage, CallError>> {
    const query = `from=${options.from}&limit=${options.limit}&waitMs=${options.waitMs}`
    const response = await callJson({
      method: 'GET',
      url: `${this.streamUrl(options.stream)}?${query}`,
      timeoutMs: this.timeoutMs + options.waitMs,
      signal,
      dispatcher: this.agent,
    })
    if (response.isErr())
      return response
    const parsed = logPageSchema.safeParse(response.value)
    if (!parsed.success)
      return Err({ failure: CallFailure.InDoubt, message: 'the log returned records in an unknown format' })
    return Ok(parsed.data)
  }

  async close(): Promise<void> {
    await this.agent.destroy()
  }

  private streamUrl(stream: string): string {
    return `${this.options.url}/streams/${encodeURIComponent(stream)}/records`
  }
}
