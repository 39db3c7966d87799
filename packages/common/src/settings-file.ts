/**
 * Loads an INI settings file and validates it with a schema. The result is
 * either the settings or a list of all errors, each with its section, its key
 * and the allowed values. Values of secret keys are never included. Each program
 * provides its own schema.
 */
import type { Result } from 'ts-results-es'
import { readFileSync } from 'node:fs'
import { parse as parseIni } from 'ini'
import { Err, Ok } from 'ts-results-es'
import * as z from 'zod'
import { formatError } from './logger.js'

/** A validation error of a settings file. */
export interface SettingsError {
  section: string
  key: string
  value: string
  allowed: string
}

/** Formats a validation error as one line. */
export function formatSettingsError(error: SettingsError): string {
  return `[${error.section}] ${error.key} = ${error.value}: allowed is ${error.allowed}`
}

/** Highest TCP port number. */
export const MAX_PORT = 65_535

const INTEGER = /^\d+$/
const NUMBER = /^\d+(\.\d+)?$/
/** Keys whose values are never included in messages. */
const SECRET_KEYS = new Set(['key'])
/** Section name in messages for keys before the first section. */
const TOP_LEVEL = 'top level'

/** Schema of an integer in an inclusive range, as INI text. */
export function integerSetting(minimum: number, maximum: number) {
  return rangeSetting(`a whole number from ${minimum} to ${maximum}`, INTEGER, minimum, maximum)
}

/** Schema of a number in an inclusive range, as INI text. */
export function numberSetting(minimum: number, maximum: number) {
  return rangeSetting(`a number from ${minimum} to ${maximum}`, NUMBER, minimum, maximum)
}

/** Schema of a text that matches a pattern; `allowed` describes it in error messages. */
export function textSetting(allowed: string, pattern = /\S/) {
  return z.string({ error: allowed }).regex(pattern, allowed)
}

/** Schema of an optional section; an absent one has the defaults of an empty one. */
export function optionalSection<Schema extends z.ZodType>(schema: Schema) {
  return z.preprocess(value => value ?? {}, schema)
}

/** Validates the text of a settings file; the error lists every invalid key and section. */
export function parseSettingsText<Settings>(iniText: string, schema: z.ZodType<Settings>): Result<Settings, SettingsError[]> {
  const raw: unknown = parseIni(iniText)
  const parsed = schema.safeParse(raw)
  return parsed.success ? Ok(parsed.data) : Err(convertSchemaErrors(parsed.error, raw))
}

/** Reads a settings file and validates its text; an unreadable file is reported as a validation error of its path. */
export function loadSettingsFile<Settings>(
  file: string,
  parse: (iniText: string) => Result<Settings, SettingsError[]>,
): Result<Settings, SettingsError[]> {
  try {
    return parse(readFileSync(file, 'utf8'))
  }
  catch (error) {
    const allowed = `a readable file (${formatError(error)})`
    return Err([{ section: 'file', key: 'path', value: file, allowed }])
  }
}

function rangeSetting(allowed: string, pattern: RegExp, minimum: number, maximum: number) {
  return z.string({ error: allowed })
    .regex(pattern, allowed)
    .transform(Number)
    .refine(value => value >= minimum && value <= maximum, allowed)
}

/** Converts the schema errors of an INI document to one validation error per key. */
function convertSchemaErrors(error: z.ZodError, raw: unknown): SettingsError[] {
  return error.issues.flatMap((issue) => {
    const path = issue.path.map(String)
    if (issue.code === 'unrecognized_keys')
      return issue.keys.map(key => createSettingsError([...path, key], raw, 'no key or section of this name'))
    const expectsSection = issue.code === 'invalid_type' && (issue.expected === 'object' || issue.expected === 'record')
    if (expectsSection)
      return [{ section: path.join('.'), key: '(section)', value: describeValue(raw, path), allowed: `the section [${path.join('.')}]` }]
    return [createSettingsError(path, raw, issue.message)]
  })
}

function createSettingsError(path: string[], raw: unknown, allowed: string): SettingsError {
  const section = path.slice(0, -1).join('.') || TOP_LEVEL
  return { section, key: path.at(-1) ?? '(file)', value: describeValue(raw, path), allowed }
}

function describeValue(raw: unknown, path: string[]): string {
  let value = raw
  for (const part of path)
    value = typeof value === 'object' && value !== null ? (value as Record<string, unknown>)[part] : undefined
  if (value === undefined)
    return '(absent)'
  if (SECRET_KEYS.has(path.at(-1)!))
    return '(hidden)'
  return typeof value === 'object' ? '(section)' : String(value)
}
