/**
 * What the parts of a prompt say of where it should be read. Keeps no state.
 */
import type { Backend } from '../connection/backends/backend.js'
import type { PromptPart } from '../connection/clients/client-codec.js'
import { rankByRendezvous } from './rendezvous.js'

/** The parts that other requests may begin with too: all but the last one, which belongs to the request itself. */
export function sharedParts(prompt: readonly PromptPart[]): readonly PromptPart[] {
  return prompt.slice(0, -1)
}

/** Tokens of some parts together. */
export function countTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0)
}

/** The engine that all processes that know the same ones prefer for a prompt's shared parts; undefined where it has none. */
export function findHome(prompt: readonly PromptPart[], engines: readonly Backend[]): Backend | undefined {
  const last = sharedParts(prompt).at(-1)
  return last && rankByRendezvous(last.id, engines, engine => engine.id)[0]
}
