/**
 * Reads an INI settings file by a schema: the values that settings are made
 * of, and one way from a file to checked settings or to all its faults. It
 * holds no state; each program brings its own schema.
 */
import type { Result } from 'ts-results-es'
import type { SettingsFault } from './settings-fault.js'
import { readFileSync } from 'node:fs'
import { parse as parseIni } from 'ini'
import { Err, Ok } from 'ts-results-es'
import { z } from 'zod'
import { formatError } from './logger.js'
import { describeFaults } from './settings-fault.js'

/** The highest port of TCP. */
export const MAX_PORT = 65_535

const INTEGER = /^\d+$/
const NUMBER = /^\d+(\.\d+)?$/

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
