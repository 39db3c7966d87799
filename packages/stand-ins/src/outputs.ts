/**
 * What stand-in backend servers put out: a function of their input alone, so
 * that a caller can tell a whole answer to its own request from any other.
 */
import { createHash } from 'node:crypto'

/** Characters of a stage's output; enough that two inputs never share it. */
const DIGEST_LENGTH = 12
/** Characters of a generated token. */
const WORD_LENGTH = 5

function digest(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, DIGEST_LENGTH)
}

/** Output of one stage for its input. */
export function stageOutput(stage: string, input: string, tokens: string[]): string {
  return tokens.length > 0 ? tokens.join(' ') : `${stage}:${digest(input)}`
}

/** The tokens that an engine generates for an input. */
export function generateTokens(input: string, count: number): string[] {
  const seed = digest(input)
  return Array.from({ length: count }, (_, index) => digest(`${seed}/${index}`).slice(0, WORD_LENGTH))
}

/** A stage as the expectation of an answer needs it. */
export interface ExpectedStage {
  name: string
  /** Tokens that the stage generates; none for other stages. */
  tokens: number
}

/** The whole answer that a pipeline must give for a caller's input. */
export function expectedAnswer(stages: readonly ExpectedStage[], input: string): string {
  let previous: string | null = null
  for (const stage of stages) {
    const stageInput: string = JSON.stringify({ input, previous })
    previous = stageOutput(stage.name, stageInput, stage.tokens > 0 ? generateTokens(stageInput, stage.tokens) : [])
  }
  return previous ?? ''
}
