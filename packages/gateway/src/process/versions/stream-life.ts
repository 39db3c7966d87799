/**
 * How long a stream can last over all its answers, by the configuration. Keeps
 * the times of each configuration as long as the configuration itself.
 */
import type { Configuration } from '../../version/configuration.js'

/** Time-outs of its route that a stream lasts at most: it is resumed within the first one, and ends within another. */
const LIFE_TIMEOUTS = 2
/** Of streams whose route is not configured any more. */
const DEFAULT_LIFE_MS = 60_000

const livesByConfiguration = new WeakMap<Configuration, ReadonlyMap<string, number>>()

/** Longest life of a stream that a service answers, in milliseconds. */
export function maxStreamLifeMs(configuration: Configuration | undefined, service: string): number {
  return livesOf(configuration).get(service) ?? DEFAULT_LIFE_MS
}

/** Longest life of a stream of any service, in milliseconds. */
export function longestStreamLifeMs(configuration: Configuration | undefined): number {
  return Math.max(DEFAULT_LIFE_MS, ...livesOf(configuration).values())
}

/** Services whose streams clients can resume. */
export function resumableServices(configuration: Configuration | undefined): string[] {
  return [...livesOf(configuration).keys()]
}

/** The longest life of a stream by service. */
function livesOf(configuration: Configuration | undefined): ReadonlyMap<string, number> {
  if (!configuration)
    return new Map()
  const known = livesByConfiguration.get(configuration)
  if (known)
    return known
  const lives = new Map<string, number>()
  for (const { streaming, resumable, services, timeoutMs } of configuration.routes) {
    for (const { service } of streaming && resumable ? services : [])
      lives.set(service, Math.max(lives.get(service) ?? 0, timeoutMs * LIFE_TIMEOUTS))
  }
  livesByConfiguration.set(configuration, lives)
  return lives
}
