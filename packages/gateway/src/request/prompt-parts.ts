/**
 * Routing by prompt prefix: the shared parts of a prompt, their size, and the
 * model engine that they prefer. Stateless.
 */
import type { Backend } from '../connection/backends/backend.js'
import type { PromptPart } from '../connection/clients/client-codec.js'
import { rankByRendezvous } from './rendezvous.js'

/**
 * Part of a prompt's processing time that counts for each request that it delays, so
 * that a long prompt does not go where others wait if another engine is as good.
 */
export const HELD_UP_SHARE = 0.1

/** The parts that other prompts may start with as well: all but the last one, which is specific to the request. */
export function sharedParts(prompt: readonly PromptPart[]): readonly PromptPart[] {
  return prompt.slice(0, -1)
}

/** Total tokens of the parts. */
export function countTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0)
}

/** The model engine that every process with the same list of engines prefers for a prompt's shared parts; undefined if the prompt has none. */
export function findPreferredEngine(prompt: readonly PromptPart[], engines: readonly Backend[]): Backend | undefined {
  const last = sharedParts(prompt).at(-1)
  return last && rankByRendezvous(last.id, engines, engine => engine.id)[0]
}
