/**
 * Start, stop and exit of a gateway process. Every exit writes the buffered log
 * lines first, because they say why the process ended; a reader of the log that
 * hangs delays the exit by a limited time only.
 *
 * Owns the exit code and whether a stop was requested. The process exits by
 * itself only through this class, except for invalid settings.
 */
import type { Gateway } from './gateway.js'
import { MAX_LOG_FLUSH_MS } from '@eidermast/common'
import { logFlushTimeoutMs } from './drain/drain-plan.js'

/** Exit codes (docs/OPERATIONS.md). */
export enum ExitCode {
  Stopped = 0,
  /** An address cannot be listened on, or the graceful stop failed. */
  Failed = 1,
  InvalidSettings = 2,
}

/** Dependencies of the lifecycle. */
export interface ProcessLifecycleDependencies {
  gateway: Pick<Gateway, 'start' | 'drain'>
  log: { startFailed: (error: unknown) => void, stopFailed: (error: unknown) => void }
  /** Resolves when the buffered log lines are written or cannot be, or after the timeout. */
  flushLog: (timeoutMs: number) => Promise<void>
  exit: (code: ExitCode) => void
  /** Time from SIGTERM to SIGKILL. */
  gracePeriodMs: number
}

/** Runs a gateway until it is stopped or fails to start. */
export class ProcessLifecycle {
  private readonly started: Promise<boolean>
  private stopping = false

  /** Starts the gateway at once. */
  constructor(private readonly dependencies: ProcessLifecycleDependencies) {
    this.started = this.start()
  }

  /** Stops the gateway gracefully and exits; further calls are ignored. A gateway that is still starting is stopped once it has started. */
  async stop(): Promise<void> {
    if (this.stopping)
      return
    this.stopping = true
    const requestedAt = performance.now()
    if (!await this.started)
      return
    const code = await this.drain()
    const elapsedMs = performance.now() - requestedAt
    await this.exit(code, logFlushTimeoutMs(elapsedMs, this.dependencies.gracePeriodMs))
  }

  /** Returns whether the gateway has started; exits if it cannot start. */
  private async start(): Promise<boolean> {
    try {
      await this.dependencies.gateway.start()
      return true
    }
    catch (error) {
      this.dependencies.log.startFailed(error)
      await this.exit(ExitCode.Failed, MAX_LOG_FLUSH_MS)
      return false
    }
  }

  private async drain(): Promise<ExitCode> {
    try {
      await this.dependencies.gateway.drain()
      return ExitCode.Stopped
    }
    catch (error) {
      this.dependencies.log.stopFailed(error)
      return ExitCode.Failed
    }
  }

  private async exit(code: ExitCode, flushTimeoutMs: number): Promise<void> {
    await this.dependencies.flushLog(flushTimeoutMs)
    this.dependencies.exit(code)
  }
}
