/**
 * Records the runs that each backend server starts, one per line in a separate
 * file, so that the counts survive a killed process. The files are removed with
 * the deployment's directory.
 */
import { appendFileSync, existsSync, readdirSync, readFileSync } from 'node:fs'
import path from 'node:path'

/** A recorded run of a stage. */
interface CountedRun {
  /** Account, request and stage, separated by slashes. */
  key: string
  /** Start time in epoch milliseconds. */
  time: number
}

const RUNS_SUFFIX = '.runs'

/** Returns the path of a backend server's run file in a deployment's directory. */
export function runsFile(directory: string, name: string): string {
  return path.join(directory, name + RUNS_SUFFIX)
}

/** Records a run that starts now. */
export function appendRun(file: string, key: string): void {
  appendFileSync(file, `${key} ${Date.now()}\n`)
}

/** Counts the runs on all backend servers of a deployment by account, request and stage. */
export function countRuns(directory: string): Map<string, number> {
  const counts = new Map<string, number>()
  const files = readdirSync(directory).filter(file => file.endsWith(RUNS_SUFFIX))
  for (const { key } of files.flatMap(file => readRuns(path.join(directory, file))))
    counts.set(key, (counts.get(key) ?? 0) + 1)
  return counts
}

/** Returns the start times of the runs of one backend server in epoch milliseconds; empty if it has run nothing. */
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
