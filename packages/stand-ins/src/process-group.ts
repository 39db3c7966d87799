/**
 * Manages the child processes of a deployment by name: starts, signals,
 * terminates and restarts them. It owns their handles until `stop`. If the parent
 * process is killed, its children keep running and must be terminated manually.
 */
import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { openSync } from 'node:fs'
import path from 'node:path'
import { createInterface } from 'node:readline'

/** Roles of launched processes. */
export enum ProcessKind {
  Platform = 'platform',
  Backend = 'backend',
  Side = 'side',
  Entry = 'entry',
}

/** A launched process. */
export interface LaunchedProcess {
  kind: ProcessKind
  name: string
  pid: number
  /** URL of a stand-in, or the URL of an entry for its callers. */
  url?: string
  /** Host and port for calls between processes; set for entries and sides. */
  peer?: string
  child: ChildProcess
}

/** The JSON line that every process prints once it is listening. */
interface ListeningLine {
  pid: number
  /** Set for stand-ins. */
  url?: string
  /** Host and port for calls between processes; set for entries and sides. */
  peer?: string
  /** Host and port for callers; set for entries. */
  caller?: string
}

/**
 * Timeout for a child to start listening. Allows for slow starts on a busy
 * machine, at the cost of a later report of a child that hangs.
 */
const START_TIMEOUT_MS = 30_000

/** A named set of child processes. */
export class ProcessGroup {
  readonly processes = new Map<string, LaunchedProcess>()
  /** Command-line arguments of each process, for restarts. */
  private readonly parameters = new Map<string, string[]>()

  /** @param directory Directory for the processes' standard error, one file per process. */
  constructor(readonly directory: string) {}

  /** Starts a process and waits until it is listening; throws if it exits first or START_TIMEOUT_MS elapses. */
  async start(kind: ProcessKind, name: string, parameters: string[]): Promise<LaunchedProcess> {
    this.parameters.set(name, parameters)
    const logFile = openSync(path.join(this.directory, `${name}.log`), 'a')
    const child = spawn(process.execPath, parameters, { stdio: ['ignore', 'pipe', logFile] })
    const { pid, url, peer, caller } = JSON.parse(await readFirstLine(child, name)) as ListeningLine
    const launched = { kind, name, pid, url: url ?? (caller && `http://${caller}`), peer, child }
    this.processes.set(name, launched)
    return launched
  }

  /** Returns the processes of one kind. */
  list(kind: ProcessKind): LaunchedProcess[] {
    return [...this.processes.values()].filter(launched => launched.kind === kind)
  }

  /** Returns the process with the given name; throws if there is none. */
  find(name: string): LaunchedProcess {
    const launched = this.processes.get(name)
    if (!launched)
      throw new Error(`no process is named ${name}; use one of ${[...this.processes.keys()].join(', ')}`)
    return launched
  }

  /** Sends a signal to a process. */
  signal(name: string, signal: NodeJS.Signals): void {
    process.kill(this.find(name).pid, signal)
  }

  /** Sends a signal and waits for the process to exit; returns its exit code. */
  async end(name: string, signal: NodeJS.Signals): Promise<number | null> {
    const { child } = this.find(name)
    if (!isRunning(child))
      return child.exitCode
    const exited = once(child, 'exit')
    this.signal(name, signal)
    await exited
    return child.exitCode
  }

  /** Starts an exited process again with its original arguments. A backend server reuses its port; others get a new one. */
  async restart(name: string): Promise<void> {
    const { kind, url } = this.find(name)
    const port = kind === ProcessKind.Backend ? ['--port', new URL(url!).port] : []
    await this.start(kind, name, [...this.parameters.get(name)!, ...port])
  }

  /** Kills all processes. */
  async stop(): Promise<void> {
    await Promise.all([...this.processes.keys()].map(name => this.end(name, 'SIGKILL')))
    this.processes.clear()
  }
}

/** Whether a child process has not exited. */
export function isRunning(child: ChildProcess): boolean {
  return child.exitCode === null && child.signalCode === null
}

/** Reads the first line that a child prints; throws if it exits first or START_TIMEOUT_MS elapses. */
async function readFirstLine(child: ChildProcess, name: string): Promise<string> {
  const lines = createInterface({ input: child.stdout! })
  const timeout = AbortSignal.timeout(START_TIMEOUT_MS)
  const line = await Promise.race([
    once(lines, 'line', { signal: timeout }).then(([text]) => String(text)),
    once(child, 'exit', { signal: timeout }).then(() => undefined),
  ])
  if (line === undefined)
    throw new Error(`${name} exited before it was listening`)
  return line
}
