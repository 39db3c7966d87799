/**
 * Settings of a gateway: an INI file checked by a schema. Every fault is
 * named at once, and nothing is started with a faulty file. The section
 * `[platform]` belongs to the platform's adapter.
 */
import type { SettingsFault } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import { readFileSync } from 'node:fs'
import { describeFaults } from '@eidermast/common'
import { parse as parseIni } from 'ini'
import { Err, Ok } from 'ts-results-es'
import { z } from 'zod'

const PORT_MAXIMUM = 65_535

function number(minimum: number, maximum: number) {
  const allowed = `a number from ${minimum} to ${maximum}`
  return z.string({ error: allowed })
    .regex(/^\d+(\.\d+)?$/, allowed)
    .transform(Number)
    .refine(value => value >= minimum && value <= maximum, allowed)
}

const text = z.string({ error: 'a text' }).regex(/\S/, 'a text')
const addressPattern = /^([\d.]+):(\d+)$/
const address = z.string({ error: 'IP:PORT' }).regex(addressPattern, 'IP:PORT').transform((value) => {
  const [, host, port] = addressPattern.exec(value)!
  return { host, port: Number(port) }
})

const processSchema = z.object({
  'name': text,
  'zone': text,
  'host': text,
  /** @default 8000 */
  'grace-period-ms': number(0, 3_600_000).default(8000),
}).transform(({ zone, ...rest }) => ({ ...rest, failureDomain: zone }))

const listenSchema = z.object({
  'clients': address,
  'readiness': address,
  'peer-port': number(1, PORT_MAXIMUM),
  'metrics-port': number(1, PORT_MAXIMUM),
})

const retrySchema = z.object({
  /** Repeats allowed for each request. @default 0.2 */
  'ratio': number(0, 100).default(0.2),
  /** Repeats allowed in a window beside those. @default 10 */
  'extra': number(0, 1_000_000).default(10),
  /** @default 10000 */
  'window-ms': number(100, 3_600_000).default(10_000),
})

const logSchema = z.object({
  /** Which events are written, in the notation of `debug`. @default eidermast: */
  namespaces: z.string().default('eidermast:*'),
})

const settingsSchema = z.object({
  process: processSchema,
  listen: listenSchema,
  retry: z.preprocess(value => value ?? {}, retrySchema),
  log: z.preprocess(value => value ?? {}, logSchema),
  platform: z.record(z.string(), z.string()).default({}),
})

/** The checked settings of a gateway. */
export type GatewaySettings = z.infer<typeof settingsSchema>

/** Checks the text of a settings file; names every fault. */
export function parseGatewaySettings(iniText: string): Result<GatewaySettings, SettingsFault[]> {
  const raw: unknown = parseIni(iniText)
  const parsed = settingsSchema.safeParse(raw)
  return parsed.success ? Ok(parsed.data) : Err(describeFaults(parsed.error, raw))
}

/** Reads and checks a settings file. */
export function loadGatewaySettings(file: string): Result<GatewaySettings, SettingsFault[]> {
  try {
    return parseGatewaySettings(readFileSync(file, 'utf8'))
  }
  catch (error) {
    return Err([{ section: 'file', key: 'path', value: file, allowed: `a readable file (${error instanceof Error ? error.message : String(error)})` }])
  }
}
