/**
 * Runs a daemon from its settings until its process gets a signal to stop.
 */
import type { Daemon } from './daemon.js'
import type { Settings } from './settings.js'
import { createLogger, enableLogs, formatError } from '@eidermast/common'
import { Entry } from './entry/entry.js'
import { ProcessRole } from './settings.js'
import { Side } from './side/side.js'

const log = createLogger('process')

/** Exit code of a process that was asked to stop and could not do so in order. */
const EXIT_STOP_FAILED = 1

/** Starts the role that the settings name. */
function startDaemon(settings: Settings): Promise<Daemon> {
  return settings.process.role === ProcessRole.Entry ? Entry.start(settings) : Side.start(settings)
}

/** Runs a daemon until SIGTERM or SIGINT; prints one JSON line once it listens. */
export async function runDaemon(settings: Settings): Promise<void> {
  enableLogs(settings.log.namespaces)
  process.on('unhandledRejection', error => log('unhandled', { error: formatError(error) }))
  const daemon = await startDaemon(settings)
  const stopOnce = createStop(daemon)
  process.on('SIGTERM', stopOnce)
  process.on('SIGINT', stopOnce)
  process.stdout.write(`${JSON.stringify(daemon.addresses)}\n`)
  log('listening', { ...daemon.addresses })
}

/**
 * What a signal to stop does: the daemon stops once, however often it comes,
 * and the process ends, also where the stop fails.
 */
export function createStop(daemon: Pick<Daemon, 'stop'>, exit: (code: number) => void = code => process.exit(code)): () => void {
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
