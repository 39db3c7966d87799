/**
 * Reads the configuration stream to its end in one read, as required by the
 * publisher, by checkpoints and before an order is sent.
 */
import type { Result } from 'ts-results-es'
import type { CallError } from './call-error.js'
import type { LogClient, LogPage } from './log.js'
import { CONFIGURATION_STREAM } from './record.js'

/** Reads all records from an offset on, without waiting for new ones. */
export function readConfigurationStream(client: LogClient, from: number, signal?: AbortSignal): Promise<Result<LogPage, CallError>> {
  return client.read({ stream: CONFIGURATION_STREAM, from, limit: Number.MAX_SAFE_INTEGER, waitMs: 0 }, signal)
}
