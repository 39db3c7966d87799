/**
 * Settings of a gateway: an INI file checked by a schema. Every fault is
 * named at once, and nothing is started with a faulty file. They are read once,
 * at the start of the process. The section `[platform]` belongs to the
 * platform's adapter, which checks it by a schema of its own.
 */
import type { SettingsFault } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import { loadSettingsFile, MAX_PORT, numberSetting, optionalSection, parseSettingsText, textSetting } from '@eidermast/common'
import * as z from 'zod'

const text = textSetting('a text')
const addressPattern = /^([\d.]+):(\d+)$/
const address = z.string({ error: 'IP:PORT' }).regex(addressPattern, 'IP:PORT').transform((value) => {
  const [, host, port] = addressPattern.exec(value)!
  return { host, port: Number(port) }
})

const processSchema = z.object({
  /** Name of this gateway among its peers. */
  'name': text,
  /** The failure domain; `zone` is the key's name since the first release. */
  'zone': text,
  /** Address on which peers and metrics are served. */
  'host': text,
  /** Milliseconds from SIGTERM to the end of the process. @default 8000 */
  'grace-period-ms': numberSetting(0, 3_600_000).default(8000),
  /** Cores that the process may use, also a part of one. @default 1 */
  'core-share': numberSetting(0.01, 1000).default(1),
}).transform(({ zone, ...rest }) => ({ ...rest, failureDomain: zone }))

const listenSchema = z.object({
  /** `IP:PORT` for clients. */
  'clients': address,
  /** `IP:PORT` at which the platform asks whether this gateway is ready. */
  'readiness': address,
  'peer-port': numberSetting(1, MAX_PORT),
  'metrics-port': numberSetting(1, MAX_PORT),
})

const retrySchema = z.object({
  /** Retries allowed for each request. @default 0.2 */
  'ratio': numberSetting(0, 100).default(0.2),
  /** Retries allowed in a window beside those, by all gateways together. @default 10 */
  'extra': numberSetting(0, 1_000_000).default(10),
  /** Length of the sliding window, in milliseconds. @default 10000 */
  'window-ms': numberSetting(100, 3_600_000).default(10_000),
})

const logSchema = z.object({
  /** Which events are written, in the notation of `debug`. @default eidermast: */
  namespaces: z.string().default('eidermast:*'),
})

const settingsSchema = z.object({
  process: processSchema,
  listen: listenSchema,
  retry: optionalSection(retrySchema),
  log: optionalSection(logSchema),
  platform: z.record(z.string(), z.string()).default({}),
})

/** The checked settings of a gateway. */
export type GatewaySettings = z.infer<typeof settingsSchema>

/** Checks the text of a settings file; names every fault. */
export function parseGatewaySettings(iniText: string): Result<GatewaySettings, SettingsFault[]> {
  return parseSettingsText(iniText, settingsSchema)
}

/** Reads and checks a settings file. */
export function loadGatewaySettings(file: string): Result<GatewaySettings, SettingsFault[]> {
  return loadSettingsFile(file, parseGatewaySettings)
}
