/**
 * Parses template and client account files: INI files with kebab-case keys, as
 * in the settings, or JSON as printed by `show`.
 */
import type { SettingsError } from '@eidermast/common'
import type { ObjectValues } from '@eidermast/daemon'
import type { Result } from 'ts-results-es'
import { loadSettingsFile, parseSettingsText } from '@eidermast/common'
import { ObjectKind, objectSchemas } from '@eidermast/daemon'
import { Err, Ok } from 'ts-results-es'
import * as z from 'zod'
import { commaSeparated } from './settings.js'

const NUMBER_RULE = 'a number'
const numberText = z.string({ error: NUMBER_RULE }).regex(/^\d+(?:\.\d+)?$/, NUMBER_RULE).transform(Number)
const flag = z.union([z.boolean(), z.enum(['true', 'false']).transform(text => text === 'true')], { error: 'true or false' })
const names = commaSeparated('names, separated by commas')
const nameByName = z.record(z.string(), z.string())

const stageFileSchema = z.strictObject({
  'service': z.string({ error: 'the name of a service' }),
  'model': z.string().optional(),
  'version': z.string().optional(),
  'adapter': z.string().optional(),
  'cost-per-call': numberText.optional(),
  'cost-per-millisecond': numberText.optional(),
  'max-tokens': numberText.optional(),
})

const templateFileSchema = z.strictObject({
  'deadline-ms': numberText,
  'priority': z.string().optional(),
  'unrepeatable': flag.optional(),
  'stage': z.record(z.string(), stageFileSchema),
}).transform(file => ({
  deadlineMs: file['deadline-ms'],
  priority: file.priority,
  unrepeatable: file.unrepeatable,
  stages: Object.entries(file.stage).map(([name, stage]) => ({
    name,
    service: stage.service,
    model: stage.model,
    version: stage.version,
    adapter: stage.adapter,
    costPerCall: stage['cost-per-call'],
    costPerMillisecond: stage['cost-per-millisecond'],
    maxTokens: stage['max-tokens'],
  })),
}))

const accountFileSchema = z.strictObject({
  'deadline-ms': numberText.optional(),
  'priority': z.string().optional(),
  'share': numberText.optional(),
  'unrepeatable': names.optional(),
  'token-hashes': names.optional(),
  'versions': nameByName.optional(),
  'adapters': nameByName.optional(),
}).transform(file => ({
  deadlineMs: file['deadline-ms'],
  priority: file.priority,
  share: file.share,
  unrepeatable: file.unrepeatable,
  tokenHashes: file['token-hashes'],
  versions: file.versions,
  adapters: file.adapters,
}))

/** Object kinds that operators maintain as files. */
export type FileKind = ObjectKind.Template | ObjectKind.Account

const fileSchemas: Record<FileKind, z.ZodType> = {
  [ObjectKind.Template]: templateFileSchema,
  [ObjectKind.Account]: accountFileSchema,
}

/** Reads and validates an object file; reports all errors. */
export function loadObjectFile<Kind extends FileKind>(kind: Kind, file: string): Result<ObjectValues[Kind], SettingsError[]> {
  const isJson = file.endsWith('.json')
  return loadSettingsFile(file, (text) => {
    const value = isJson ? Ok(JSON.parse(text) as unknown) : parseSettingsText(text, fileSchemas[kind])
    return value.andThen(raw => checkValue(kind, raw))
  })
}

function checkValue<Kind extends FileKind>(kind: Kind, value: unknown): Result<ObjectValues[Kind], SettingsError[]> {
  const checked = objectSchemas[kind].safeParse(value)
  return checked.success ? Ok(checked.data) : Err(convertSchemaErrors(checked.error))
}

function convertSchemaErrors(error: z.ZodError): SettingsError[] {
  return error.issues.map(issue => ({
    section: issue.path.slice(0, -1).join('.') || 'file',
    key: String(issue.path.at(-1) ?? '(file)'),
    value: issue.code,
    allowed: issue.message,
  }))
}
