/**
 * Settings of a daemon: an INI file validated against a schema. All errors of
 * the file are reported together, and the daemon does not start with an invalid
 * file. The keys and values are a public interface and must not be renamed;
 * `greet-interval-ms` is the heartbeat interval.
 */
import type { SettingsError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import { integerSetting, loadSettingsFile, MAX_PORT, optionalSection, parseSettingsText, textSetting } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import * as z from 'zod'

/** Role of a daemon process. */
export enum ProcessRole {
  Entry = 'entry',
  Side = 'side',
}

/** Admission policies of an entry. */
export enum AdmissionName {
  /** Admits requests up to the limit on requests in flight. */
  All = 'all',
  /** Sheds requests that cannot meet their deadline or exceed their account's share. */
  Deadline = 'deadline',
}

/** Load balancing policies for backend servers. */
export enum ChoiceName {
  Random = 'random',
  RoundRobin = 'round-robin',
  /** Compares, by predicted finish time, two random candidates and the one most likely to have the prompt prefix cached. */
  Predicted = 'predicted',
}

/** Policies that give a stage its share of the deadline. */
export enum StageBudgetName {
  /** All of the remaining time. */
  Whole = 'whole',
  /** The remaining time minus a high quantile of the recent durations of the later stages. */
  Reserved = 'reserved',
}

/** Queueing policies of a side. */
export enum QueueName {
  /** First in, first out; unbounded. */
  Fifo = 'fifo',
  /** By priority, then by earliest deadline; rejects calls that cannot finish in time. */
  Deadline = 'deadline',
}

/** Retry policies of an entry. */
export enum RetryName {
  /** A fixed number of attempts per stage. */
  Fixed = 'fixed',
  /** A retry budget: a token bucket that each started stage refills. */
  Budget = 'budget',
}

/** Ejection policies for failing or slow backend servers. */
export enum EjectionName {
  None = 'none',
  Outlier = 'outlier',
}

function enumSetting<Values extends Record<string, string>>(values: Values) {
  return z.enum(values, { error: `one of ${Object.values(values).join(', ')}` })
}

const name = textSetting('letters, digits, dots, underscores and hyphens', /^[a-z0-9][\w.-]*$/i)
const url = textSetting('a URL such as http://10.0.0.1:8080, without a path', /^https?:\/\/[^\s/]+$/)
const host = textSetting('an IP address to listen on', /^[\da-f.:]+$/i)
const addressList = z.string({ error: 'host:port, separated by commas' })
  .transform(value => value.split(',').map(part => part.trim()).filter(part => part !== ''))
  .refine(values => values.every(value => /^[^\s:]+:\d+$/.test(value)), 'host:port, separated by commas')

/** Minimum key length in characters, against brute-force attacks. */
const MIN_KEY_LENGTH = 16
const KEY_REQUIREMENT = `a secret of ${MIN_KEY_LENGTH} characters or more`
const HOUR_MS = 3_600_000

const processSchema = z.strictObject({
  'role': enumSetting(ProcessRole),
  'name': name,
  'virtual-machine': name,
  'failure-domain': name,
  'host': host,
  'caller-port': integerSetting(0, MAX_PORT).default(0),
  'peer-port': integerSetting(0, MAX_PORT).default(0),
  'key': z.string({ error: KEY_REQUIREMENT }).min(MIN_KEY_LENGTH, KEY_REQUIREMENT),
  'stop-timeout-ms': integerSetting(0, HOUR_MS).default(30_000),
  /** Memory that connections share for large heads and requests sent ahead. @default a part of the heap */
  'connection-bytes': integerSetting(100_000, 10_000_000_000).optional(),
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
  'addresses': addressList.default([]),
  'greet-interval-ms': integerSetting(10, 60_000).default(500),
  'watch-limit': integerSetting(1, 10_000).default(64),
  'max-connections': integerSetting(1, 1_000_000).default(1024),
})

const entrySchema = z.strictObject({
  'max-connections': integerSetting(1, 1_000_000).default(10_000),
  'max-requests': integerSetting(1, 1_000_000).default(2000),
  'max-service-calls': integerSetting(1, 1_000_000).default(500),
  'max-body-bytes': integerSetting(1, 100_000_000).default(262_144),
  'body-timeout-ms': integerSetting(10, HOUR_MS).default(5000),
  /** Bodies of requests that are not answered, together. @default a part of the heap */
  'held-body-bytes': integerSetting(1, 10_000_000_000).optional(),
  'write-timeout-ms': integerSetting(10, HOUR_MS).default(5000),
  'outcome-memory-ms': integerSetting(1000, HOUR_MS).default(120_000),
  'outcome-memory-entries': integerSetting(1, 10_000_000).default(50_000),
  'outcome-memory-bytes': integerSetting(1000, 10_000_000_000).default(64_000_000),
  'claim-memory-ms': integerSetting(1000, 24 * HOUR_MS).default(600_000),
  'claim-batch-ms': integerSetting(0, 1000).default(10),
  'ticket-lifetime-ms': integerSetting(1000, HOUR_MS).default(300_000),
  'admission': enumSetting(AdmissionName).default(AdmissionName.Deadline),
  'choice': enumSetting(ChoiceName).default(ChoiceName.Predicted),
  'stage-budget': enumSetting(StageBudgetName).default(StageBudgetName.Reserved),
  'retry': enumSetting(RetryName).default(RetryName.Budget),
  'ejection': enumSetting(EjectionName).default(EjectionName.Outlier),
})

const sideSchema = z.strictObject({
  'backend': url,
  'slots': integerSetting(1, 10_000).default(8),
  'queue-limit': integerSetting(0, 1_000_000).default(64),
  'queue-bytes': integerSetting(1, 10_000_000_000).default(16_000_000),
  'queue': enumSetting(QueueName).default(QueueName.Deadline),
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

/** Validated settings of a daemon. */
export type Settings = z.infer<typeof settingsSchema>
export type SideSettings = NonNullable<Settings['side']>

/** Reads and validates a settings file. */
export function loadSettings(file: string): Result<Settings, SettingsError[]> {
  return loadSettingsFile(file, parseSettings)
}

/** Validates the text of a settings file; reports all errors. */
export function parseSettings(iniText: string): Result<Settings, SettingsError[]> {
  return parseSettingsText(iniText, settingsSchema).andThen(checkAcrossSections)
}

/** Checks rules that involve keys of several sections. */
function checkAcrossSections(settings: Settings): Result<Settings, SettingsError[]> {
  const { process: { role }, platform, entry, side } = settings
  const claimMemoryMs = entry['claim-memory-ms']
  // A retained claim must still be in the log; otherwise an entry that starts later would not learn of it.
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
