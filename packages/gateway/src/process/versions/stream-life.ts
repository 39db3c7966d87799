/**
 * How long a stream can last over all its answers, by the configuration.
 */
import type { Configuration } from '../../version/configuration.js'

/**
 * A stream that is resumed as late as possible still lasts one more time-out.
 * Its clients count one deadline over all their tries, so that twice is enough.
 */
const LIFE_TIMEOUTS = 2
/** Of streams whose route is no longer configured. */
const DEFAULT_LIFE_MS = 60_000

/** Longest life of a stream that a service answers, in milliseconds. */
export function maxStreamLifeMs(configuration: Configuration | undefined, service: string): number {
  const timeouts = resumableRoutes(configuration).filter(({ services }) => services.some(weighted => weighted.service === service)).map(({ timeoutMs }) => timeoutMs)
  return timeouts.length === 0 ? DEFAULT_LIFE_MS : Math.max(...timeouts) * LIFE_TIMEOUTS
}

/** Services whose streams clients can resume. */
export function resumableServices(configuration: Configuration | undefined): string[] {
  return [...new Set(resumableRoutes(configuration).flatMap(({ services }) => services.map(({ service }) => service)))]
}

function resumableRoutes(configuration: Configuration | undefined): Configuration['routes'] {
  return configuration?.routes.filter(({ streaming, resumable }) => streaming && resumable) ?? []
}
