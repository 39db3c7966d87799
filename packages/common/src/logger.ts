/**
 * Structured debug logging: one line of key=value pairs for each decision, in
 * `debug` namespaces that start with `eidermast:`.
 */
import type { LineWriter } from './descriptor-writer.js'
import { format } from 'node:util'
import createDebug from 'debug'

export type LogValue = string | number | boolean | undefined

/** The fields of one log line. */
export interface LogFields {
  [field: string]: LogValue
}

/** Writes one line with an event name and its fields. */
export type Logger = (event: string, fields?: LogFields) => void

const ROOT_NAMESPACE = 'eidermast'
/** Numbers are rounded to three decimal places. */
const DECIMAL_SCALE = 1000

/** Creates the logger of one namespace, such as `route` or `placement`. */
export function createLogger(namespace: string): Logger {
  const write = createDebug(`${ROOT_NAMESPACE}:${namespace}`)
  return (event, fields = {}) => {
    if (write.enabled)
      write('%s', formatLine(event, fields))
  }
}

/** Enables log namespaces, in the syntax of the `debug` package. */
export function enableLogs(namespaces: string): void {
  createDebug.enable(namespaces)
}

/** Writes all debug logs of the process to a writer instead of standard error. */
export function redirectLogs(writer: LineWriter): void {
  createDebug.log = (...parameters: unknown[]) => writer.write(format(...parameters))
}

/** Formats one log line; empty values and values with white space, quotes or equals signs are quoted as JSON. */
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

/** Formats an unexpected error with its stack trace. */
export function formatStack(error: unknown): string {
  return (error instanceof Error ? error.stack : undefined) ?? formatError(error)
}

/** Formats any thrown value as one line. */
export function formatError(error: unknown): string {
  if (error instanceof Error) {
    const cause = error.cause instanceof Error ? `: ${error.cause.message}` : ''
    return `${error.message}${cause}`
  }
  if (typeof error === 'object' && error !== null && 'message' in error)
    return String(error.message)
  return String(error)
}
