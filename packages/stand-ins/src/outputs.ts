/**
 * Output of the stand-in backend servers. It depends only on the input, so that a
 * caller can verify that an answer is complete and belongs to its own request.
 */
import { createHash } from 'node:crypto'

/** Long enough that two inputs do not collide in practice. */
const DIGEST_LENGTH = 12
const TOKEN_LENGTH = 5

function digest(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, DIGEST_LENGTH)
}

/** Returns the output of a stage for its input. */
export function stageOutput(stage: string, input: string, tokens: string[]): string {
  return tokens.length > 0 ? tokens.join(' ') : `${stage}:${digest(input)}`
}

/** Returns the tokens that an engine generates for an input. */
export function generateTokens(input: string, count: number): string[] {
  const seed = digest(input)
  return Array.from({ length: count }, (_, index) => digest(`${seed}/${index}`).slice(0, TOKEN_LENGTH))
}

/** Description of a stage for computing the expected answer. */
export interface ExpectedStage {
  name: string
  /** Number of tokens that the stage generates; 0 for stages without a model. */
  tokens: number
}

/** Computes the complete answer of a pipeline for a caller's input. */
export function expectedAnswer(stages: readonly ExpectedStage[], input: string): string {
  let previous: string | null = null
  for (const stage of stages) {
    const stageInput: string = JSON.stringify({ input, previous })
    previous = stageOutput(stage.name, stageInput, stage.tokens > 0 ? generateTokens(stageInput, stage.tokens) : [])
  }
  return previous ?? ''
}
