/**
 * Gateway settings: an INI file validated against a schema. All faults are
 * reported together, and a process does not start with an invalid file. Settings
 * are read once at start-up. The section `[platform]` is validated by the
 * platform's adapter with its own schema.
 */
import type { SettingsError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import { integerSetting, loadSettingsFile, MAX_PORT, numberSetting, optionalSection, parseSettingsText, textSetting } from '@eidermast/common'
import * as z from 'zod'

const text = textSetting('a non-empty string')
const addressPattern = /^([\d.]+):(\d+)$/
const address = z.string({ error: 'IP:PORT' }).regex(addressPattern, 'IP:PORT').transform((value) => {
  const [, host, port] = addressPattern.exec(value)!
  return { host, port: Number(port) }
})

const BYTES_PER_MEGABYTE = 1e6

const processSchema = z.object({
  /** Name of this gateway, unique among its peers. */
  'name': text,
  /** The failure domain; the key has been called `zone` since the first release. */
  'zone': text,
  /** Address for the peer and metrics servers. */
  'host': text,
  /** Milliseconds from SIGTERM to the end of the process. @default 8000 */
  'grace-period-ms': numberSetting(0, 3_600_000).default(8000),
  /** CPU cores available to the process; may be fractional. @default 1 */
  'core-share': numberSetting(0.01, 1000).default(1),
  /** Megabytes of memory available to the process; may be left empty by a platform that does not tell. @default unknown */
  'memory-megabytes': z.preprocess(value => value === '' ? undefined : value, numberSetting(1, 1_000_000).optional()),
  /** Descriptors that the process may open; may be left empty by a platform that does not tell. @default unknown */
  'max-open-files': z.preprocess(value => value === '' ? undefined : value, integerSetting(1, 10_000_000).optional()),
}).transform(({ zone, 'memory-megabytes': memoryMegabytes, 'max-open-files': maxOpenFiles, ...rest }) => ({
  ...rest,
  failureDomain: zone,
  maxOpenFiles,
  memoryBytes: memoryMegabytes === undefined ? undefined : memoryMegabytes * BYTES_PER_MEGABYTE,
}))

const listenSchema = z.object({
  /** `IP:PORT` of the client server. */
  'clients': address,
  /** `IP:PORT` of the platform's readiness check. */
  'readiness': address,
  'peer-port': numberSetting(1, MAX_PORT),
  'metrics-port': numberSetting(1, MAX_PORT),
})

const connectionsSchema = z.object({
  /** Maximum number of clients' connections. @default half of the descriptors that are not kept for files */
  'max-clients': integerSetting(1, 1_000_000).optional(),
  /** Megabytes that the connections of all ports share for large heads and requests sent ahead. @default a part of the memory */
  'shared-megabytes': numberSetting(1, 1_000_000).optional(),
}).transform(({ 'max-clients': maxClients, 'shared-megabytes': sharedMegabytes }) => ({
  maxClients,
  sharedBytes: sharedMegabytes === undefined ? undefined : sharedMegabytes * BYTES_PER_MEGABYTE,
}))

const retrySchema = z.object({
  /** Retries allowed per request. @default 0.2 */
  'ratio': numberSetting(0, 100).default(0.2),
  /** Additional retries per window, for all gateways together. @default 10 */
  'extra': numberSetting(0, 1_000_000).default(10),
  /** Length of the sliding window, in milliseconds. @default 10000 */
  'window-ms': numberSetting(100, 3_600_000).default(10_000),
})

/** How requests without stages are admitted. */
export enum AdmissionMode {
  /** All at once. */
  All = 'all',
  /** While the service can answer them in time; others wait shortly or are refused. */
  Adaptive = 'adaptive',
}

/** How client accounts share a service that is overloaded. */
export enum AccountShareMode {
  None = 'none',
  /** Max-min fair shares, the same at every gateway. */
  MaxMin = 'max-min',
}

/** What the choice of a backend server knows of its speed. */
export enum BackendSpeedMode {
  None = 'none',
  /** As reported in responses, and as measured by calls. */
  Measured = 'measured',
}

/** How stage work and engines are shared by requests that compete. */
export enum StageSharingMode {
  None = 'none',
  /** By client account, and callers that returned as told come first. */
  Fair = 'fair',
}

const loadSchema = z.object({
  /** @default 'all' */
  'admission': z.enum(AdmissionMode).default(AdmissionMode.All),
  /** @default 'none' */
  'account-shares': z.enum(AccountShareMode).default(AccountShareMode.None),
  /** @default 'none' */
  'backend-speed': z.enum(BackendSpeedMode).default(BackendSpeedMode.None),
  /** @default 'none' */
  'stage-sharing': z.enum(StageSharingMode).default(StageSharingMode.None),
  /** Client accounts in the configuration from which on `stage-sharing` applies. @default 0 */
  'stage-sharing-accounts': numberSetting(0, 1_000_000).default(0),
  /** Longest wait in milliseconds of a request that arrives before this gateway has a configuration and backend servers. @default 0 */
  'start-wait-ms': numberSetting(0, 60_000).default(0),
  /** Megabytes that the process may hold for clients and backend servers that are slow to read; 0 for no limit. @default a part of the memory */
  'held-megabytes': numberSetting(0, 1_000_000).optional(),
}).transform(({ 'held-megabytes': heldMegabytes, ...rest }) => ({
  ...rest,
  heldBytes: heldMegabytes === undefined ? undefined : heldMegabytes * BYTES_PER_MEGABYTE,
}))

const logSchema = z.object({
  /** Enabled log events, in the notation of `debug`. @default 'eidermast:*' */
  namespaces: z.string().default('eidermast:*'),
})

const settingsSchema = z.object({
  process: processSchema,
  listen: listenSchema,
  connections: optionalSection(connectionsSchema),
  retry: optionalSection(retrySchema),
  load: optionalSection(loadSchema),
  log: optionalSection(logSchema),
  platform: z.record(z.string(), z.string()).default({}),
})

/** Validated settings of a gateway. */
export type GatewaySettings = z.infer<typeof settingsSchema>

/** Parses and validates the text of a settings file; reports every fault. */
export function parseGatewaySettings(iniText: string): Result<GatewaySettings, SettingsError[]> {
  return parseSettingsText(iniText, settingsSchema)
}

/** Reads, parses and validates a settings file. */
export function loadGatewaySettings(file: string): Result<GatewaySettings, SettingsError[]> {
  return loadSettingsFile(file, parseGatewaySettings)
}
