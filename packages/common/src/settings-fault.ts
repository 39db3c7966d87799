/**
 * Faults of an INI settings file that a schema found, each with its section,
 * its key and what is allowed there. Both programs print them and refuse to
 * start. Values of secret keys never appear.
 */
import type { z } from 'zod'

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

/** Keys whose values never appear in messages. */
const SECRET_KEYS = new Set(['key'])
/** Section name of keys that stand above the first section. */
const TOP_LEVEL = 'top level'

/** Lists the faults that a schema found in an INI document, key by key. */
export function describeFaults(error: z.ZodError, raw: unknown): SettingsFault[] {
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
