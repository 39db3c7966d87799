/**
 * What every command needs: checked settings, the operator's connection and
 * the way out.
 */
import type { SettingsFault } from '@eidermast/common'
import type { Publication } from '@eidermast/daemon'
import type { Command } from 'commander'
import type { OutputOptions } from './output.js'
import { formatFault } from '@eidermast/common'
import { ExitCode, PUBLISH_EXIT_CODES } from './exit-codes.js'
import { Operator } from './operator.js'
import { print } from './output.js'
import { loadCommandLineSettings } from './settings.js'

/** Options of the whole command line. */
export interface GlobalOptions extends OutputOptions {
  settings: string
}

/** Ends a command with an exit code and a sentence. */
export class CommandFailure extends Error {
  constructor(readonly exitCode: ExitCode, message: string) {
    super(message)
  }
}

/** Ends a command because of faults in a file. */
export function failWithFaults(faults: SettingsFault[]): never {
  throw new CommandFailure(ExitCode.BadInput, faults.map(formatFault).join('\n'))
}

/** Ends a command because the platform's log does not answer. */
export function failUnreachable(): never {
  throw new CommandFailure(ExitCode.Unreachable, 'the platform\'s log does not answer; try again later')
}

/** The options given before a subcommand's own. */
export function globalOptions(command: Command): GlobalOptions {
  return command.optsWithGlobals<GlobalOptions>()
}

/** Runs a command's work with an operator's connection. */
export async function withOperator<Value>(options: GlobalOptions, work: (operator: Operator) => Promise<Value>): Promise<Value> {
  const settings = loadCommandLineSettings(options.settings)
  if (settings.isErr())
    failWithFaults(settings.error)
  const operator = new Operator(settings.value)
  try {
    return await work(operator)
  }
  finally {
    await operator.close()
  }
}

/** Prints what became of a change and sets the exit code. */
export function reportPublication(options: GlobalOptions, publication: Publication): void {
  const offset = publication.offset === undefined ? '' : ` at offset ${publication.offset}`
  print(options, publication, [`${publication.outcome}${offset} (record ${publication.recordId})`])
  process.exitCode = PUBLISH_EXIT_CODES[publication.outcome]
}
