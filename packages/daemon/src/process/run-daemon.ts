/**
 * Runs a daemon with given settings until the process receives a stop signal.
 * Logs go to standard error without blocking; every exit writes the buffered
 * lines first, because they say why the process ended.
 */
import type { Daemon } from './daemon.js'
import type { Settings } from './settings.js'
import process from 'node:process'
import { createLogger, DescriptorWriter, enableLogs, formatError, MAX_LOG_FLUSH_MS, redirectLogs } from '@eidermast/common'
import { Entry } from './entry/entry.js'
import { ProcessRole } from './settings.js'
import { Side } from './side/side.js'

const log = createLogger('process')

/** Exit code if the daemon fails to start, if its graceful stop fails, or after an unexpected error. */
const EXIT_FAILED = 1

function startDaemon(settings: Settings): Promise<Daemon> {
  return settings.process.role === ProcessRole.Entry ? Entry.start(settings) : Side.start(settings)
}

/** Runs a daemon until SIGTERM or SIGINT; prints its `DaemonInfo` as one line of JSON once it is listening. Exits if it cannot start. */
export async function runDaemon(settings: Settings): Promise<void> {
  // Node makes a pipe non-blocking when its stream is created, which DescriptorWriter requires.
  const writer = new DescriptorWriter(process.stderr.fd)
  redirectLogs(writer)
  enableLogs(settings.log.namespaces)
  process.on('unhandledRejection', error => log('unhandled', { error: formatError(error) }))
  process.on('uncaughtException', (error) => {
    writer.write(`eidermastd failed: ${error.stack ?? error.message}`)
    void flushAndExit(writer, EXIT_FAILED)
  })
  try {
    const daemon = await startDaemon(settings)
    const stopOnce = createStopHandler(daemon, code => void flushAndExit(writer, code))
    process.on('SIGTERM', stopOnce)
    process.on('SIGINT', stopOnce)
    process.stdout.write(`${JSON.stringify(daemon.info)}\n`)
    log('listening', { ...daemon.info })
  }
  catch (error) {
    writer.write(`eidermastd could not start: ${formatError(error)}`)
    await flushAndExit(writer, EXIT_FAILED)
  }
}

async function flushAndExit(writer: DescriptorWriter, code: number): Promise<void> {
  await writer.flush(MAX_LOG_FLUSH_MS)
  process.exit(code)
}

/**
 * Creates the handler for stop signals. It stops the daemon on the first signal,
 * ignores further ones, and then exits the process, even if the stop fails.
 */
export function createStopHandler(daemon: Pick<Daemon, 'stop'>, exit: (code: number) => void): () => void {
  let stopping = false
  return () => {
    if (stopping)
      return
    stopping = true
    daemon.stop().then(() => exit(0), (error) => {
      log('stop-failed', { error: formatError(error) })
      exit(EXIT_FAILED)
    })
  }
}
