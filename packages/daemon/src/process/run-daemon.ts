/**
 * Runs a daemon with given settings until the process receives a stop signal.
 */
import type { Daemon } from './daemon.js'
import type { Settings } from './settings.js'
import { createLogger, enableLogs, formatError } from '@eidermast/common'
import { Entry } from './entry/entry.js'
import { ProcessRole } from './settings.js'
import { Side } from './side/side.js'

const log = createLogger('process')

/** Exit code if the graceful stop fails. */
const EXIT_STOP_FAILED = 1

function startDaemon(settings: Settings): Promise<Daemon> {
  return settings.process.role === ProcessRole.Entry ? Entry.start(settings) : Side.start(settings)
}

/** Runs a daemon until SIGTERM or SIGINT; prints its `DaemonInfo` as one line of JSON once it is listening. */
export async function runDaemon(settings: Settings): Promise<void> {
  enableLogs(settings.log.namespaces)
  process.on('unhandledRejection', error => log('unhandled', { error: formatError(error) }))
  const daemon = await startDaemon(settings)
  const stopOnce = createStopHandler(daemon)
  process.on('SIGTERM', stopOnce)
  process.on('SIGINT', stopOnce)
  process.stdout.write(`${JSON.stringify(daemon.info)}\n`)
  log('listening', { ...daemon.info })
}

/**
 * Creates the handler for stop signals. It stops the daemon on the first signal,
 * ignores further ones, and then exits the process, even if the stop fails.
 */
export function createStopHandler(daemon: Pick<Daemon, 'stop'>, exit: (code: number) => void = code => process.exit(code)): () => void {
  let stopping = false
  return () => {
    if (stopping)
      return
    stopping = true
    daemon.stop().then(() => exit(0), (error) => {
      log('stop-failed', { error: formatError(error) })
      exit(EXIT_STOP_FAILED)
    })
  }
}
