/**
 * Runs that a backend server appended to its file, so that they outlive it.
 */
import { readFileSync } from 'node:fs'

/** One run of a stage. */
export interface CountedRun {
  /** Account, request and stage. */
  key: string
  /** Epoch milliseconds. */
  time: number
}

/** Reads the runs of one backend server. */
export function readRuns(file: string): CountedRun[] {
  const lines = readFileSync(file, 'utf8').split('\n').filter(line => line !== '')
  return lines.map((line) => {
    const [key, time] = line.split(' ')
    return { key, time: Number(time) }
  })
}
