/**
 * What every script of the review shares: its record, its temporary folder, its
 * exit codes, and the end of all that it started.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'

/** Exit codes. */
export const HELD = 0
export const BROKEN = 1
export const COULD_NOT_RUN = 2

/** Whether the disruption is to be made. */
export const withTrouble = process.env.TROUBLE !== '0'

export const wait = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds))

/** Runs a case: `play` gets the record and a temporary folder, and resolves with an exit code; `stop` ends what it started. */
export async function runScript({ recordFile, limitMs, play, stop }) {
  const startedAt = performance.now()
  const lines = []
  const record = text => lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}`)
  const directory = mkdtempSync(path.join(tmpdir(), 'eidermast-review-'))
  const finish = (code, text) => {
    record(text)
    stop()
    writeFileSync(recordFile, `${lines.join('\n')}\n`)
    if (process.env.KEEP_LOGS === '1')
      console.log(`logs: ${directory}`)
    else
      rmSync(directory, { recursive: true, force: true })
    console.log(text)
    process.exit(code)
  }
  setTimeout(() => finish(COULD_NOT_RUN, 'the script ran out of time'), limitMs).unref()
  for (const event of ['uncaughtException', 'unhandledRejection'])
    process.once(event, error => finish(COULD_NOT_RUN, `the script failed: ${error.stack}`))
  process.once('SIGTERM', () => finish(COULD_NOT_RUN, 'the script was stopped'))
  process.once('SIGINT', () => finish(COULD_NOT_RUN, 'the script was stopped'))
  try {
    const { code, text } = await play({ record, directory })
    finish(code, text)
  }
  catch (error) {
    finish(COULD_NOT_RUN, `the script failed: ${error.stack}`)
  }
}
