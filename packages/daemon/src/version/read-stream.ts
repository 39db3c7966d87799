/**
 * Reads the rest of the log's configuration stream at once, for whoever has to
 * know its end: publishers, checkpoints and the check before an order.
 */
import type { Result } from 'ts-results-es'
import type { CallError } from './call-error.js'
import type { LogClient, LogPage } from './log.js'
import { CONFIGURATION_STREAM } from './record.js'

/** Reads everything from an offset on; the log answers at once, also where nothing is there. */
export function readConfigurationStream(client: LogClient, from: number, signal?: AbortSignal): Promise<Result<LogPage, CallError>> {
  return client.read({ stream: CONFIGURATION_STREAM, from, limit: Number.MAX_SAFE_INTEGER, waitMs: 0 }, signal)
}
