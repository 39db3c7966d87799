/**
 * Reading of the files that operators write: text, INI and values separated by
 * commas. Every error becomes a fault that names the file, so that it is
 * printed like the others. It keeps no state.
 */
import type { SettingsFault } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import { readFileSync } from 'node:fs'
import { describeFaults } from '@eidermast/common'
import { parse as parseIni } from 'ini'
import { Err, Ok } from 'ts-results-es'
import { z } from 'zod'

/** Values of one key, separated by commas. */
export function commaSeparated(rule: string): z.ZodType<string[]> {
  return z.string({ error: rule })
    .transform(value => value.split(',').map(part => part.trim()).filter(part => part !== ''))
}

/** The fault of a file that cannot be read, or not be parsed. */
export function describeUnreadable(file: string, error: unknown): SettingsFault {
  return { section: 'file', key: 'path', value: file, allowed: `a readable file (${String(error)})` }
}

/** Reads a file's text. */
export function readText(file: string): Result<string, SettingsFault[]> {
  try {
    return Ok(readFileSync(file, 'utf8'))
  }
  catch (error) {
    return Err([describeUnreadable(file, error)])
  }
}

/** Checks INI text against a schema; names every fault. */
export function checkIni<Value>(schema: z.ZodType<Value>, text: string): Result<Value, SettingsFault[]> {
  const raw = parseIni(text)
  const parsed = schema.safeParse(raw)
  return parsed.success ? Ok(parsed.data) : Err(describeFaults(parsed.error, raw))
}
