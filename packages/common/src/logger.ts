/**
 * Structured log lines: one line of key=value for each decision, under
 * `debug` namespaces that start with `eidermast:`.
 */
import createDebug from 'debug'

/** A value that a log field may hold. */
export type LogValue = string | number | boolean | undefined

/** The fields of one log line. */
export interface LogFields {
  [field: string]: LogValue
}

/** Writes one line with an event name and its fields. */
export type Logger = (event: string, fields?: LogFields) => void

const ROOT_NAMESPACE = 'eidermast'
/** Numbers are written with three decimals. */
const DECIMAL_SCALE = 1000

/** Creates the logger of one subject, such as `route` or `placement`. */
export function createLogger(subject: string): Logger {
  const write = createDebug(`${ROOT_NAMESPACE}:${subject}`)
  return (event, fields = {}) => {
    if (write.enabled)
      write('%s', formatLine(event, fields))
  }
}

/** Enables log namespaces, in the notation of `debug`. */
export function enableLogs(namespaces: string): void {
  createDebug.enable(namespaces)
}

/** Formats one log line; values with white space or quotes are quoted as JSON. */
export function formatLine(event: string, fields: LogFields): string {
  const parts = [`event=${event}`]
  for (const [field, value] of Object.entries(fields)) {
    if (value !== undefined)
      parts.push(`${field}=${formatValue(value)}`)
  }
  return parts.join(' ')
}

function formatValue(value: string | number | boolean): string {
  const text = typeof value === 'number' ? String(Math.round(value * DECIMAL_SCALE) / DECIMAL_SCALE) : String(value)
  return text === '' || /[\s"=]/.test(text) ? JSON.stringify(text) : text
}

/** Describes any thrown value in one line. */
export function formatError(error: unknown): string {
  if (error instanceof Error) {
    const cause = error.cause instanceof Error ? `: ${error.cause.message}` : ''
    return `${error.message}${cause}`
  }
  if (typeof error === 'object' && error !== null && 'message' in error)
    return String(error.message)
  return String(error)
}
