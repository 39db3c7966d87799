/**
 * The operators' command line.
 */
import { formatError } from '@eidermast/common'
import { ObjectKind } from '@eidermast/daemon'
import { Command } from 'commander'
import { addBackendCommands } from './backend-commands.js'
import { addConfigCommands } from './config-commands.js'
import { CommandFailure } from './context.js'
import { EXIT_CODE_HELP, ExitCode } from './exit-codes.js'
import { addObjectCommands } from './object-commands.js'
import { addSystemCommands } from './system-commands.js'

const program = new Command('eidermast')
  .description('Operate an Eidermast system')
  .option('--settings <file>', 'INI file that names the platform and the key', 'eidermast.ini')
  .option('--json', 'print one JSON value', false)
  .addHelpText('after', EXIT_CODE_HELP)
  .exitOverride(error => process.exit(error.exitCode === 0 ? ExitCode.Accepted : ExitCode.BadInput))

addObjectCommands(program, ObjectKind.Template, 'publish, show, list and delete pipeline templates')
addObjectCommands(program, ObjectKind.Account, 'publish, show, list and delete client accounts')
addBackendCommands(program)
addConfigCommands(program)
addSystemCommands(program)

try {
  await program.parseAsync()
}
catch (error) {
  console.error(formatError(error))
  process.exitCode = error instanceof CommandFailure ? error.exitCode : ExitCode.Failed
}
