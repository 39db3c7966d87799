/**
 * Reads an INI settings file by a schema: the values that settings are made
 * of, and one way from a file to checked settings or to all its faults, each
 * with its section, its key and what is allowed there. Values of secret keys
 * never appear. It holds no state; each program brings its own schema.
 */
import type { Result } from 'ts-results-es'
import { readFileSync } from 'node:fs'
import { parse as parseIni } from 'ini'
import { Err, Ok } from 'ts-results-es'
import * as z from 'zod'
import { formatError } from './logger.js'

/** One fault of a settings file. */
export interface SettingsFault {
  section: string
  key: string
  value: string
  allowed: string
}

/** Formats a fault in one line. */
export function formatFault(fault: SettingsFault): string {
  return `[${fault.section}] ${fault.key} = ${fault.value}: allowed is ${fault.allowed}`
}

/** The highest port of TCP. */
export const MAX_PORT = 65_535

const INTEGER = /^\d+$/
const NUMBER = /^\d+(\.\d+)?$/
/** Keys whose values never appear in messages. */
const SECRET_KEYS = new Set(['key'])
/** Section name of keys that stand above the first section. */
const TOP_LEVEL = 'top level'

/** A whole number in a range, both ends included, as INI text. */
export function integerSetting(minimum: number, maximum: number) {
  return rangeSetting(`a whole number from ${minimum} to ${maximum}`, INTEGER, minimum, maximum)
}

/** A number in a range, both ends included, as INI text. */
export function numberSetting(minimum: number, maximum: number) {
  return rangeSetting(`a number from ${minimum} to ${maximum}`, NUMBER, minimum, maximum)
}

/** A text that matches a pattern; `allowed` is what a fault says about it. */
export function textSetting(allowed: string, pattern = /\S/) {
  return z.string({ error: allowed }).regex(pattern, allowed)
}

/** A section that may be absent: its defaults are those of an empty one. */
export function optionalSection<Schema extends z.ZodType>(schema: Schema) {
  return z.preprocess(value => value ?? {}, schema)
}

/** Checks the text of a settings file; the error names every fault. */
export function parseSettingsText<Settings>(iniText: string, schema: z.ZodType<Settings>): Result<Settings, SettingsFault[]> {
  const raw: unknown = parseIni(iniText)
  const parsed = schema.safeParse(raw)
  return parsed.success ? Ok(parsed.data) : Err(describeFaults(parsed.error, raw))
}

/** Reads a settings file and checks its text; a file that cannot be read is a fault of its path. */
export function loadSettingsFile<Settings>(
  file: string,
  parse: (iniText: string) => Result<Settings, SettingsFault[]>,
): Result<Settings, SettingsFault[]> {
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

/** Lists the faults that a schema found in an INI document, key by key. */
function describeFaults(error: z.ZodError, raw: unknown): SettingsFault[] {
  return error.issues.flatMap((issue) => {
    const path = issue.path.map(String)
    if (issue.code === 'unrecognized_keys')
      return issue.keys.map(key => describeFault([...path, key], raw, 'no key or section of this name'))
    const wantsSection = issue.code === 'invalid_type' && (issue.expected === 'object' || issue.expected === 'record')
    if (wantsSection)
      return [{ section: path.join('.'), key: '(section)', value: describeValue(raw, path), allowed: `the section [${path.join('.')}]` }]
    return [describeFault(path, raw, issue.message)]
  })
}

function describeFault(path: string[], raw: unknown, allowed: string): SettingsFault {
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
