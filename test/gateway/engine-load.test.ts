import type { EngineRequest } from '@eidermast/gateway'
import { Backend, EngineAssignments } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'
import { createRecord } from './support/fakes.js'
import { createRandom } from './support/random.js'

const ENGINES = 80
const LOAD_MS = 30_000
/** Prefill time per token at the engines. */
const TOKEN_MS = 0.018
/** Time to the first event that does not depend on the prompt. */
const FIXED_MS = 50
/** A part that is prefilled within this time of its last use counts as recomputed. */
const RECOMPUTE_WINDOW_MS = 10_000

/** Prompts that begin with one of a few parts, followed by one of many. */
interface PromptKind {
  name: string
  /** Requests per second. */
  rate: number
  firsts: number
  firstTokens: number
  seconds: number
  secondTokens: number
  ownTokens: number
}

const KINDS: PromptKind[] = [
  { name: 'short', rate: 53, firsts: 39, firstTokens: 120, seconds: 1300, secondTokens: 80, ownTokens: 600 },
  { name: 'long', rate: 47, firsts: 3, firstTokens: 500, seconds: 800, secondTokens: 4900, ownTokens: 6600 },
  { name: 'middling', rate: 78, firsts: 78, firstTokens: 340, seconds: 1300, secondTokens: 230, ownTokens: 1800 },
]

/** An engine that prefills prompts one at a time and caches every part. */
class PrefillEngine {
  private readonly cachedParts = new Set<string>()
  private freeAt = 0

  /** Prefills a prompt; returns its uncached parts from the first one on. */
  read(prompt: EngineRequest['prompt'], now: number): { uncached: readonly { id: string, tokens: number }[], firstEventAt: number } {
    const shared = prompt.slice(0, -1)
    const firstUncached = shared.findIndex(part => !this.cachedParts.has(part.id))
    const uncached = firstUncached === -1 ? [] : shared.slice(firstUncached)
    shared.forEach(part => this.cachedParts.add(part.id))
    const tokens = uncached.reduce((sum, part) => sum + part.tokens, prompt.at(-1)!.tokens)
    this.freeAt = Math.max(now, this.freeAt) + tokens * TOKEN_MS
    return { uncached, firstEventAt: this.freeAt + FIXED_MS }
  }
}

function createPrompt({ name, firsts, firstTokens, seconds, secondTokens, ownTokens }: PromptKind, random: () => number, id: string): EngineRequest['prompt'] {
  const second = Math.floor(random() * seconds)
  return [
    { id: `${name} first ${second % firsts}`, tokens: firstTokens },
    { id: `${name} second ${second}`, tokens: secondTokens },
    { id, tokens: Math.round(ownTokens * (0.3 + 1.4 * random())) },
  ]
}

/** Simulates the load with a seed; returns the share of prefilled tokens that were recomputed, and the sorted times to the first event. */
function simulate(seed: number): { recomputedShare: number, firstEventMs: number[] } {
  const random = createRandom(seed)
  const engines = Array.from({ length: ENGINES }, (_, number) => new Backend(createRecord({ id: `engine-${number}` })))
  const readers = new Map(engines.map(engine => [engine.id, new PrefillEngine()]))
  const assignments = new EngineAssignments()
  const lastUse = new Map<string, number>()
  const prefilling: { requestId: string, until: number }[] = []
  const firstEventMs: number[] = []
  let readTokens = 0
  let recomputedTokens = 0
  const totalRate = KINDS.reduce((sum, { rate }) => sum + rate, 0)
  for (let now = 0, number = 0; now < LOAD_MS; now += -Math.log(1 - random()) * 1000 / totalRate) {
    prefilling.sort((left, right) => left.until - right.until)
    while (prefilling[0]?.until <= now) {
      const { requestId, until } = prefilling.shift()!
      assignments.release(requestId, until)
    }
    let left = random() * totalRate
    const kind = KINDS.find(({ rate }) => (left -= rate) < 0)!
    const requestId = `request-${number++}`
    const prompt = createPrompt(kind, random, requestId)
    const engine = assignments.assign({ requestId, prompt, failureDomain: 'zone-a', bytes: 0 }, engines, now)!
    const { uncached, firstEventAt } = readers.get(engine.id)!.read(prompt, now)
    readTokens += prompt.at(-1)!.tokens
    for (const { id, tokens } of uncached) {
      readTokens += tokens
      recomputedTokens += now - (lastUse.get(id) ?? Number.NEGATIVE_INFINITY) < RECOMPUTE_WINDOW_MS ? tokens : 0
    }
    prompt.slice(0, -1).forEach(part => lastUse.set(part.id, now))
    prefilling.push({ requestId, until: firstEventAt })
    firstEventMs.push(firstEventAt - now)
  }
  return { recomputedShare: recomputedTokens / readTokens, firstEventMs: firstEventMs.sort((a, b) => a - b) }
}

// Guards against recomputing cached prompt parts on engine after engine. It happened when a prompt went to the preferred
// engine of its last shared part although another engine had the first part cached, and when the fixed overhead of
// short prompts made engines appear slow, so that prompts left their preferred engines. With both faults, 0.031 to 0.033 of
// the tokens are recomputed here.
describe('prompts on many engines', () => {
  test.each([1, 2, 3])('are assigned to engines with cached parts, without long queues (seed %i)', (seed) => {
    const { recomputedShare, firstEventMs } = simulate(seed)
    expect(recomputedShare).toBeLessThan(0.02)
    expect(firstEventMs[Math.floor(firstEventMs.length * 0.9)]).toBeLessThan(250)
  })
})
