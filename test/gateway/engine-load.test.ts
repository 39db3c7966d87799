import type { EngineRequest } from '@eidermast/gateway'
import { Backend, EngineAssignments } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'
import { createRecord } from './support/fakes.js'
import { createRandom } from './support/random.js'

const ENGINES = 80
const LOAD_MS = 30_000
/** Milliseconds that a prompt token takes at the engines. */
const TOKEN_MS = 0.018
/** Milliseconds of an answer that do not depend on its prompt. */
const FIXED_MS = 50
/** Milliseconds after its last use within which a part that another engine reads counts as read again. */
const AGAIN_WITHIN_MS = 10_000

/** Prompts that begin with one of a few parts and go on with one of many. */
interface PromptKind {
  name: string
  /** Requests a second. */
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

/** An engine that reads one prompt after the other and keeps every part. */
class ReadingEngine {
  private readonly kept = new Set<string>()
  private freeAt = 0

  /** Tokens of the parts that it lacks from the first missing one on. */
  read(prompt: EngineRequest['prompt'], now: number): { missing: readonly { id: string, tokens: number }[], firstEventAt: number } {
    const shared = prompt.slice(0, -1)
    const firstMissing = shared.findIndex(part => !this.kept.has(part.id))
    const missing = firstMissing === -1 ? [] : shared.slice(firstMissing)
    shared.forEach(part => this.kept.add(part.id))
    const tokens = missing.reduce((sum, part) => sum + part.tokens, prompt.at(-1)!.tokens)
    this.freeAt = Math.max(now, this.freeAt) + tokens * TOKEN_MS
    return { missing, firstEventAt: this.freeAt + FIXED_MS }
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

/** Plays the load by a seed: the share of all tokens read that are parts read again, and the first events' times in milliseconds. */
function play(seed: number): { againShare: number, firstEventMs: number[] } {
  const random = createRandom(seed)
  const engines = Array.from({ length: ENGINES }, (_, number) => new Backend(createRecord({ id: `engine-${number}` })))
  const readers = new Map(engines.map(engine => [engine.id, new ReadingEngine()]))
  const assignments = new EngineAssignments()
  const lastUse = new Map<string, number>()
  const reading: { requestId: string, until: number }[] = []
  const firstEventMs: number[] = []
  let readTokens = 0
  let againTokens = 0
  const totalRate = KINDS.reduce((sum, { rate }) => sum + rate, 0)
  for (let now = 0, number = 0; now < LOAD_MS; now += -Math.log(1 - random()) * 1000 / totalRate) {
    reading.sort((left, right) => left.until - right.until)
    while (reading[0]?.until <= now) {
      const { requestId, until } = reading.shift()!
      assignments.release(requestId, until)
    }
    let left = random() * totalRate
    const kind = KINDS.find(({ rate }) => (left -= rate) < 0)!
    const requestId = `request-${number++}`
    const prompt = createPrompt(kind, random, requestId)
    const engine = assignments.assign({ requestId, prompt, failureDomain: 'zone-a', bytes: 0 }, engines, now)!
    const { missing, firstEventAt } = readers.get(engine.id)!.read(prompt, now)
    readTokens += prompt.at(-1)!.tokens
    for (const { id, tokens } of missing) {
      readTokens += tokens
      againTokens += now - (lastUse.get(id) ?? Number.NEGATIVE_INFINITY) < AGAIN_WITHIN_MS ? tokens : 0
    }
    prompt.slice(0, -1).forEach(part => lastUse.set(part.id, now))
    reading.push({ requestId, until: firstEventAt })
    firstEventMs.push(firstEventAt - now)
  }
  return { againShare: againTokens / readTokens, firstEventMs: firstEventMs.sort((a, b) => a - b) }
}

// What callers and operators saw: parts of prompts were read again at engine after engine, which took time from all.
// Cause: a prompt went to the home of its last shared part although another engine kept the part that it begins with,
// and the fixed time of short prompts made engines look slow, so that prompts left their homes. Evidence: with both as
// they were, 0.031 to 0.033 of the tokens are read again here.
describe('prompts on many engines', () => {
  test.each([1, 2, 3])('find engines that keep their parts, and do not queue for them (seed %i)', (seed) => {
    const { againShare, firstEventMs } = play(seed)
    expect(againShare).toBeLessThan(0.02)
    expect(firstEventMs[Math.floor(firstEventMs.length * 0.9)]).toBeLessThan(250)
  })
})
