/**
 * Settings of a daemon: an INI file checked by a schema. Every fault of the
 * file is named at once, and nothing is started with a faulty file. Names of
 * keys and values are operators' and keep their forms; `greet-interval-ms` is
 * the interval of heartbeats.
 */
import type { SettingsError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import { integerSetting, loadSettingsFile, MAX_PORT, optionalSection, parseSettingsText, textSetting } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import * as z from 'zod'

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

/** Ways to eject failing or slow backend servers. */
export enum EjectionName {
  None = 'none',
  Outlier = 'outlier',
}

function choice<Values extends Record<string, string>>(values: Values) {
  return z.enum(values, { error: `one of ${Object.values(values).join(', ')}` })
}

const name = textSetting('letters, digits, dots, underscores and hyphens', /^[a-z0-9][\w.-]*$/i)
const url = textSetting('a URL such as http://10.0.0.1:8080, without a path', /^https?:\/\/[^\s/]+$/)
const host = textSetting('an IP address to listen on', /^[\da-f.:]+$/i)
const addresses = z.string({ error: 'host:port, separated by commas' })
  .transform(value => value.split(',').map(part => part.trim()).filter(part => part !== ''))
  .refine(values => values.every(value => /^[^\s:]+:\d+$/.test(value)), 'host:port, separated by commas')

/** Characters. Enough that the key cannot be found by trying. */
const MIN_KEY_LENGTH = 16
const KEY_FORM = `a secret of ${MIN_KEY_LENGTH} characters or more`
/** Milliseconds of an hour. */
const HOUR_MS = 3_600_000

const processSchema = z.strictObject({
  'role': choice(ProcessRole),
  'name': name,
  'virtual-machine': name,
  'failure-domain': name,
  'host': host,
  'caller-port': integerSetting(0, MAX_PORT).default(0),
  'peer-port': integerSetting(0, MAX_PORT).default(0),
  'key': z.string({ error: KEY_FORM }).min(MIN_KEY_LENGTH, KEY_FORM),
  'stop-timeout-ms': integerSetting(0, HOUR_MS).default(30_000),
})

const platformSchema = z.strictObject({
  'log': url,
  'virtual-machines': url,
  'weight-store': url,
  'log-retention-ms': integerSetting(1000, 365 * 24 * HOUR_MS).default(24 * HOUR_MS),
  'log-timeout-ms': integerSetting(10, 60_000).default(1000),
  'list-interval-ms': integerSetting(10, HOUR_MS).default(1000),
})

const peersSchema = z.strictObject({
  'addresses': addresses.default([]),
  'greet-interval-ms': integerSetting(10, 60_000).default(500),
  'watch-limit': integerSetting(1, 10_000).default(64),
})

const entrySchema = z.strictObject({
  'max-connections': integerSetting(1, 1_000_000).default(10_000),
  'max-requests': integerSetting(1, 1_000_000).default(2000),
  'max-service-calls': integerSetting(1, 1_000_000).default(500),
  'max-body-bytes': integerSetting(1, 100_000_000).default(262_144),
  'body-timeout-ms': integerSetting(10, HOUR_MS).default(5000),
  'write-timeout-ms': integerSetting(10, HOUR_MS).default(5000),
  'outcome-memory-ms': integerSetting(1000, HOUR_MS).default(120_000),
  'outcome-memory-entries': integerSetting(1, 10_000_000).default(50_000),
  'outcome-memory-bytes': integerSetting(1000, 10_000_000_000).default(64_000_000),
  'claim-memory-ms': integerSetting(1000, 24 * HOUR_MS).default(600_000),
  'claim-batch-ms': integerSetting(0, 1000).default(10),
  'ticket-lifetime-ms': integerSetting(1000, HOUR_MS).default(300_000),
  'admission': choice(AdmissionName).default(AdmissionName.Deadline),
  'choice': choice(ChoiceName).default(ChoiceName.Predicted),
  'stage-budget': choice(StageBudgetName).default(StageBudgetName.Reserved),
  'retry': choice(RetryName).default(RetryName.Budget),
  'ejection': choice(EjectionName).default(EjectionName.Outlier),
})

const sideSchema = z.strictObject({
  'backend': url,
  'slots': integerSetting(1, 10_000).default(8),
  'queue-limit': integerSetting(0, 1_000_000).default(64),
  'queue-bytes': integerSetting(1, 10_000_000_000).default(16_000_000),
  'queue': choice(QueueName).default(QueueName.Deadline),
  'result-memory-ms': integerSetting(100, HOUR_MS).default(60_000),
  'result-memory-entries': integerSetting(1, 10_000_000).default(10_000),
  'result-memory-bytes': integerSetting(1000, 10_000_000_000).default(16_000_000),
  'load-interval-ms': integerSetting(10, 60_000).default(250),
})

const logSchema = z.strictObject({
  namespaces: z.string().default('eidermast:*'),
})

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
export type SideSettings = NonNullable<Settings['side']>

/** Reads and checks a settings file. */
export function loadSettings(file: string): Result<Settings, SettingsError[]> {
  return loadSettingsFile(file, parseSettings)
}

/** Checks the text of a settings file; names every fault. */
export function parseSettings(iniText: string): Result<Settings, SettingsError[]> {
  return parseSettingsText(iniText, settingsSchema).andThen(checkTogether)
}

/** Checks what keys of several sections must hold together. */
function checkTogether(settings: Settings): Result<Settings, SettingsError[]> {
  const { process: { role }, platform, entry, side } = settings
  const claimMemoryMs = entry['claim-memory-ms']
  // A claim that is remembered must still be on the log, or an entry that starts meanwhile does not know of it.
  if (role === ProcessRole.Entry && claimMemoryMs > platform['log-retention-ms'] / 2) {
    const allowed = 'at most half of [platform] log-retention-ms'
    return Err([{ section: 'entry', key: 'claim-memory-ms', value: String(claimMemoryMs), allowed }])
  }
  if (role === ProcessRole.Side && !side) {
    const allowed = 'the section [side] with a backend, since the role is side'
    return Err([{ section: 'side', key: 'backend', value: '(absent)', allowed }])
  }
  return Ok(settings)
}
