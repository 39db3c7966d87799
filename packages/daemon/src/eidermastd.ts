/**
 * Command-line entry point of the daemon.
 */
import process from 'node:process'
import { formatSettingsError } from '@eidermast/common'
import { Command } from 'commander'
import { runDaemon } from './process/run-daemon.js'
import { loadSettings } from './process/settings.js'

/** Exit code for invalid settings or arguments. */
const EXIT_BAD_INPUT = 2

interface DaemonOptions {
  settings: string
  check: boolean
}

const program = new Command('eidermastd')
  .description('Eidermast daemon: an entry that serves callers, or a side that fronts one backend server')
  .requiredOption('--settings <file>', 'INI file with the settings')
  .option('--check', 'validate the settings and exit: 0 if they are valid, 2 if not', false)
  .exitOverride(error => process.exit(error.exitCode === 0 ? 0 : EXIT_BAD_INPUT))

program.parse()
await main(program.opts<DaemonOptions>())

async function main(options: DaemonOptions): Promise<void> {
  const settings = loadSettings(options.settings)
  if (settings.isErr()) {
    for (const fault of settings.error)
      console.error(formatSettingsError(fault))
    process.exitCode = EXIT_BAD_INPUT
    return
  }
  if (options.check) {
    console.log('the settings are good')
    return
  }
  await runDaemon(settings.value)
}
