/**
 * Runs a case: writes `record.txt` to its folder, ends what it started, and exits
 * with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
 */
import { writeFileSync } from 'node:fs'
import process from 'node:process'
import { fileURLToPath } from 'node:url'
import { Deployment } from './deployment.mjs'

const LIMIT_MS = 115_000

/** Whether the disruption is played. */
export const isTroubled = process.env.TROUBLE !== '0'

/** Lines of what happened, with milliseconds since the start of the case. */
class CaseRecord {
  lines = []

  add(text, at = performance.now()) {
    this.lines.push({ at, text: `${at.toFixed(0).padStart(7)} ms  ${text}` })
  }

  /** Adds what became of a request. */
  addRequest({ id, path, sentAt, status, outcome, endedAt }, run) {
    this.add(`${id} ${path} is sent`, sentAt)
    if (run)
      this.add(`${id} is run by ${run.backend}`, run.at)
    this.add(`${id} ${outcome === 'answered' ? `is answered ${status}` : 'ends with its connection, without a complete answer'}`, endedAt)
  }

  toString() {
    return `${this.lines.toSorted((left, right) => left.at - right.at).map(({ text }) => text).join('\n')}\n`
  }
}

/** `play` gets a deployment and a record, and returns the breaches of the rule, each as a line. */
export async function runCase(caseUrl, play) {
  const record = new CaseRecord()
  const deployment = new Deployment()
  const timer = setTimeout(() => void finish(2, ['the case took too long']), LIMIT_MS)

  async function finish(code, lines) {
    clearTimeout(timer)
    await deployment.stop()
    const verdict = `${code === 1 ? 'broken' : code === 0 ? 'held' : 'not run'}${lines.map(line => `\n  ${line}`).join('')}\n`
    writeFileSync(fileURLToPath(new URL('record.txt', caseUrl)), `${isTroubled ? 'with' : 'without'} the disruption\n${record}${verdict}`)
    process.stdout.write(verdict)
    process.exit(code)
  }

  try {
    const breaches = await play(deployment, record)
    await finish(breaches.length > 0 ? 1 : 0, breaches)
  }
  catch (error) {
    await finish(2, [String(error?.stack ?? error)])
  }
}
