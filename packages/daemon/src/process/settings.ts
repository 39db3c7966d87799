/**
 * Settings of a daemon: an INI file checked by a schema. Every fault of the
 * file is named at once, and nothing is started with a faulty file.
 */
import type { SettingsFault } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import { readFileSync } from 'node:fs'
import { describeFaults, formatError } from '@eidermast/common'
import { parse as parseIni } from 'ini'
import { Err, Ok } from 'ts-results-es'
import { z } from 'zod'

/** What a daemon is. */
export enum ProcessRole {
  Entry = 'entry',
  Side = 'side',
}

/** Ways to admit requests at an entry. */
export enum AdmissionName {
  /** Admits whatever fits into memory. */
  All = 'all',
  /** Sheds what cannot meet its deadline and what exceeds an account's share. */
  Deadline = 'deadline',
}

/** Ways to choose a backend server. */
export enum ChoiceName {
  Random = 'random',
  RoundRobin = 'round-robin',
  /** Two or more random candidates, compared by predicted finish. */
  Predicted = 'predicted',
}

/** Ways to give a stage its share of the deadline. */
export enum StageBudgetName {
  /** All that remains of the deadline. */
  Whole = 'whole',
  /** What remains after the later stages' recent service times. */
  Reserved = 'reserved',
}

/** Ways to order a side's queue. */
export enum QueueName {
  /** First in, first out, without a limit. */
  Fifo = 'fifo',
  /** By priority, then earliest deadline; refuses what cannot finish in time. */
  Deadline = 'deadline',
}

/** Ways to limit retries. */
export enum RetryName {
  /** A fixed number of tries for each stage. */
  Fixed = 'fixed',
  /** Tries within a share of recent requests. */
  Budget = 'budget',
}

/** Ways to leave out failing or slow backend servers. */
export enum EjectionName {
  None = 'none',
  Outlier = 'outlier',
}

/** A whole number in a range, as INI text. */
function integer(minimum: number, maximum: number) {
  const allowed = `a whole number from ${minimum} to ${maximum}`
  return z.string({ error: allowed })
    .regex(/^\d+$/, allowed)
    .transform(Number)
    .refine(value => value >= minimum && value <= maximum, allowed)
}

function text(allowed: string, pattern = /\S/) {
  return z.string({ error: allowed }).regex(pattern, allowed)
}

function choice<Values extends Record<string, string>>(values: Values) {
  return z.enum(values, { error: `one of ${Object.values(values).join(', ')}` })
}

const name = text('letters, digits, dots, underscores and hyphens', /^[a-z0-9][\w.-]*$/i)
const url = text('a URL such as http://10.0.0.1:8080, without a path', /^https?:\/\/[^\s/]+$/)
const host = text('an IP address to listen on', /^[\da-f.:]+$/i)
const addresses = z.string({ error: 'host:port, separated by commas' })
  .transform(value => value.split(',').map(part => part.trim()).filter(part => part !== ''))
  .refine(values => values.every(value => /^[^\s:]+:\d+$/.test(value)), 'host:port, separated by commas')

const MINIMUM_KEY_LENGTH = 16
const PORT_MAXIMUM = 65_535
const HOUR_MS = 3_600_000

const processSchema = z.strictObject({
  'role': choice(ProcessRole),
  'name': name,
  'virtual-machine': name,
  'failure-domain': name,
  'host': host,
  'caller-port': integer(0, PORT_MAXIMUM).default(0),
  'peer-port': integer(0, PORT_MAXIMUM).default(0),
  'key': z.string({ error: `a secret of ${MINIMUM_KEY_LENGTH} characters or more` }).min(MINIMUM_KEY_LENGTH, `a secret of ${MINIMUM_KEY_LENGTH} characters or more`),
  'stop-timeout-ms': integer(0, HOUR_MS).default(30_000),
})

const platformSchema = z.strictObject({
  'log': url,
  'virtual-machines': url,
  'weight-store': url,
  'log-retention-ms': integer(1000, 365 * 24 * HOUR_MS).default(24 * HOUR_MS),
  'log-timeout-ms': integer(10, 60_000).default(1000),
  'list-interval-ms': integer(10, HOUR_MS).default(1000),
})

const peersSchema = z.strictObject({
  'addresses': addresses.default([]),
  'greet-interval-ms': integer(10, 60_000).default(500),
  'watch-limit': integer(1, 10_000).default(64),
})

const entrySchema = z.strictObject({
  'max-connections': integer(1, 1_000_000).default(10_000),
  'max-requests': integer(1, 1_000_000).default(2000),
  'max-service-calls': integer(1, 1_000_000).default(500),
  'max-body-bytes': integer(1, 100_000_000).default(262_144),
  'body-timeout-ms': integer(10, HOUR_MS).default(5000),
  'write-timeout-ms': integer(10, HOUR_MS).default(5000),
  'outcome-memory-ms': integer(1000, HOUR_MS).default(120_000),
  'outcome-memory-entries': integer(1, 10_000_000).default(50_000),
  'outcome-memory-bytes': integer(1000, 10_000_000_000).default(64_000_000),
  'claim-memory-ms': integer(1000, 24 * HOUR_MS).default(600_000),
  'claim-batch-ms': integer(0, 1000).default(10),
  'ticket-lifetime-ms': integer(1000, HOUR_MS).default(300_000),
  'admission': choice(AdmissionName).default(AdmissionName.Deadline),
  'choice': choice(ChoiceName).default(ChoiceName.Predicted),
  'stage-budget': choice(StageBudgetName).default(StageBudgetName.Reserved),
  'retry': choice(RetryName).default(RetryName.Budget),
  'ejection': choice(EjectionName).default(EjectionName.Outlier),
})

const sideSchema = z.strictObject({
  'backend': url,
  'slots': integer(1, 10_000).default(8),
  'queue-limit': integer(0, 1_000_000).default(64),
  'queue-bytes': integer(1, 10_000_000_000).default(16_000_000),
  'queue': choice(QueueName).default(QueueName.Deadline),
  'result-memory-ms': integer(100, HOUR_MS).default(60_000),
  'result-memory-entries': integer(1, 10_000_000).default(10_000),
  'result-memory-bytes': integer(1000, 10_000_000_000).default(16_000_000),
  'load-interval-ms': integer(10, 60_000).default(250),
})

const logSchema = z.strictObject({
  namespaces: z.string().default('eidermast:*'),
})

/** Defaults are resolved by parsing an empty section. */
function optionalSection<Schema extends z.ZodType>(schema: Schema) {
  return z.preprocess(value => value ?? {}, schema)
}

const settingsSchema = z.strictObject({
  process: processSchema,
  platform: platformSchema,
  peers: optionalSection(peersSchema),
  entry: optionalSection(entrySchema),
  side: sideSchema.optional(),
  log: optionalSection(logSchema),
})

/** The checked settings of a daemon. */
export type Settings = z.infer<typeof settingsSchema>
export type EntrySettings = Settings['entry']
export type SideSettings = NonNullable<Settings['side']>

/** Reads and checks a settings file. */
export function loadSettings(file: string): Result<Settings, SettingsFault[]> {
  try {
    return parseSettings(readFileSync(file, 'utf8'))
  }
  catch (error) {
    return Err([{ section: 'file', key: 'path', value: file, allowed: `a readable file (${formatError(error)})` }])
  }
}

/** Checks the text of a settings file; names every fault. */
export function parseSettings(iniText: string): Result<Settings, SettingsFault[]> {
  const raw: unknown = parseIni(iniText)
  const parsed = settingsSchema.safeParse(raw)
  if (!parsed.success)
    return Err(describeFaults(parsed.error, raw))
  const settings = parsed.data
  const claimMemoryMs = settings.entry['claim-memory-ms']
  if (settings.process.role === ProcessRole.Entry && claimMemoryMs > settings.platform['log-retention-ms'] / 2)
    return Err([{ section: 'entry', key: 'claim-memory-ms', value: String(claimMemoryMs), allowed: 'at most half of [platform] log-retention-ms' }])
  if (settings.process.role === ProcessRole.Side && !settings.side)
    return Err([{ section: 'side', key: 'backend', value: '(absent)', allowed: 'the section [side] with a backend, since the role is side' }])
  return Ok(settings)
}
