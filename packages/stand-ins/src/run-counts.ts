/**
 * Runs that a backend server started, one a line in a file of its own, so that
 * the count outlives a killed process. The files live as long as the
 * deployment's directory.
 */
import { appendFileSync, existsSync, readdirSync, readFileSync } from 'node:fs'
import path from 'node:path'

/** One run of a stage. */
interface CountedRun {
  /** Account, request and stage, separated by slashes. */
  key: string
  /** Epoch milliseconds at the start. */
  time: number
}

const RUNS_SUFFIX = '.runs'

/** The file of a backend server's runs in a deployment's directory. */
export function runsFile(directory: string, name: string): string {
  return path.join(directory, name + RUNS_SUFFIX)
}

/** Appends a run that starts now. */
export function appendRun(file: string, key: string): void {
  appendFileSync(file, `${key} ${Date.now()}\n`)
}

/** Counts the runs of every backend server of a deployment, by account, request and stage. */
export function countRuns(directory: string): Map<string, number> {
  const counts = new Map<string, number>()
  const files = readdirSync(directory).filter(file => file.endsWith(RUNS_SUFFIX))
  for (const { key } of files.flatMap(file => readRuns(path.join(directory, file))))
    counts.set(key, (counts.get(key) ?? 0) + 1)
  return counts
}

/** When each run of one backend server started, in epoch milliseconds; empty where it has run nothing. */
export function runTimes(directory: string, name: string): number[] {
  const file = runsFile(directory, name)
  return existsSync(file) ? readRuns(file).map(run => run.time) : []
}

function readRuns(file: string): CountedRun[] {
  const lines = readFileSync(file, 'utf8').split('\n').filter(line => line !== '')
  return lines.map((line) => {
    const [key, time] = line.split(' ')
    return { key, time: Number(time) }
  })
}
