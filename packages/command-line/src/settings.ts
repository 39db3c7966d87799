/**
 * Settings of the command line: an INI file with the platform's URLs, the shared
 * key and, for load runs, the entries.
 */
import type { SettingsError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import { loadSettingsFile, optionalSection, parseSettingsText, textSetting } from '@eidermast/common'
import * as z from 'zod'

/** Schema for a comma-separated list. */
export function commaSeparated(rule: string): z.ZodType<string[]> {
  return z.string({ error: rule })
    .transform(value => value.split(',').map(part => part.trim()).filter(part => part !== ''))
}

const URL_RULE = 'a URL such as http://10.0.0.1:8080, without a path'
const url = textSetting(URL_RULE, /^https?:\/\/[^\s/]+$/)
const urls = commaSeparated('URLs, separated by commas')

const settingsSchema = z.strictObject({
  platform: z.strictObject({ 'log': url, 'virtual-machines': url }),
  peers: z.strictObject({ key: z.string({ error: 'the key of the system\'s processes' }).min(1) }),
  callers: optionalSection(z.strictObject({ entries: urls.default([]) })),
})

/** Validated settings of the command line. */
export type CommandLineSettings = z.infer<typeof settingsSchema>

/** Reads and validates a settings file; reports all errors. */
export function loadCommandLineSettings(file: string): Result<CommandLineSettings, SettingsError[]> {
  return loadSettingsFile(file, text => parseSettingsText(text, settingsSchema))
}
