/**
 * The processes of one deployment, by name: starts, signals, ends and restarts
 * them by their ids. It owns their handles until `stop`; a child outlives a
 * launcher that is killed, and must then be ended by hand.
 */
import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { openSync } from 'node:fs'
import path from 'node:path'
import { createInterface } from 'node:readline'

/** What a launched process is. */
export enum ProcessKind {
  Platform = 'platform',
  Backend = 'backend',
  Side = 'side',
  Entry = 'entry',
}

/** One launched process. */
export interface LaunchedProcess {
  kind: ProcessKind
  name: string
  pid: number
  /** URL of a stand-in, or the callers' URL of an entry. */
  url?: string
  /** Host and port for calls between processes, of entries and sides. */
  peer?: string
  child: ChildProcess
}

/** The line that every process prints once it listens. */
interface ListeningLine {
  pid: number
  /** Of stand-ins. */
  url?: string
  /** Host and port between processes, of entries and sides. */
  peer?: string
  /** Host and port for callers, of entries. */
  caller?: string
}

/**
 * Milliseconds for a child to listen. Half as long fails starts on a busy
 * machine, twice as long only delays the report of a child that hangs.
 */
const START_TIMEOUT_MS = 30_000

/** Processes by name. */
export class ProcessGroup {
  readonly processes = new Map<string, LaunchedProcess>()
  /** Parameters that each process was started with. */
  private readonly parameters = new Map<string, string[]>()

  /** @param directory Where the processes' standard error goes, one file each. */
  constructor(readonly directory: string) {}

  /** Starts a process and waits until it listens; throws where it ends before. */
  async start(kind: ProcessKind, name: string, parameters: string[]): Promise<LaunchedProcess> {
    this.parameters.set(name, parameters)
    const logFile = openSync(path.join(this.directory, `${name}.log`), 'a')
    const child = spawn(process.execPath, parameters, { stdio: ['ignore', 'pipe', logFile] })
    const { pid, url, peer, caller } = JSON.parse(await readFirstLine(child, name)) as ListeningLine
    const launched = { kind, name, pid, url: url ?? (caller && `http://${caller}`), peer, child }
    this.processes.set(name, launched)
    return launched
  }

  /** Processes of one kind. */
  list(kind: ProcessKind): LaunchedProcess[] {
    return [...this.processes.values()].filter(launched => launched.kind === kind)
  }

  /** Throws where no process has the name. */
  find(name: string): LaunchedProcess {
    const launched = this.processes.get(name)
    if (!launched)
      throw new Error(`no process is named ${name}; use one of ${[...this.processes.keys()].join(', ')}`)
    return launched
  }

  /** Sends a signal to a process by its id. */
  signal(name: string, signal: NodeJS.Signals): void {
    process.kill(this.find(name).pid, signal)
  }

  /** Sends a signal and waits for the process's end; returns its exit code. */
  async end(name: string, signal: NodeJS.Signals): Promise<number | null> {
    const { child } = this.find(name)
    if (!isRunning(child))
      return child.exitCode
    const exited = once(child, 'exit')
    this.signal(name, signal)
    await exited
    return child.exitCode
  }

  /** Starts an ended process as it was started first; a backend server on its old port, others on a new one. */
  async restart(name: string): Promise<void> {
    const { kind, url } = this.find(name)
    const port = kind === ProcessKind.Backend ? ['--port', new URL(url!).port] : []
    await this.start(kind, name, [...this.parameters.get(name)!, ...port])
  }

  /** Ends every process at once. */
  async stop(): Promise<void> {
    await Promise.all([...this.processes.keys()].map(name => this.end(name, 'SIGKILL')))
    this.processes.clear()
  }
}

/** Whether a child has not ended. */
export function isRunning(child: ChildProcess): boolean {
  return child.exitCode === null && child.signalCode === null
}

/** The first line that a child prints; throws if it ends before. */
async function readFirstLine(child: ChildProcess, name: string): Promise<string> {
  const lines = createInterface({ input: child.stdout! })
  const timeout = AbortSignal.timeout(START_TIMEOUT_MS)
  const line = await Promise.race([
    once(lines, 'line', { signal: timeout }).then(([text]) => String(text)),
    once(child, 'exit', { signal: timeout }).then(() => undefined),
  ])
  if (line === undefined)
    throw new Error(`${name} ended before it listened`)
  return line
}
