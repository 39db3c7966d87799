/**
 * Entry point of the operators' command line. Each invocation runs one command.
 * It is stateless and changes the configuration only through the platform's log.
 */
import { formatError } from '@eidermast/common'
import { Command } from 'commander'
import { formatExamples } from './commands/command-context.js'
import {
  addAccountCommands,
  addBackendCommands,
  addConfigCommands,
  addExplainCommand,
  addLoadCommand,
  addStatusCommand,
  addTemplateCommands,
} from './commands/index.js'
import { exitCodeOfError, exitCodeOfParsing, formatExitCodes } from './exit-codes.js'

const EXAMPLES = formatExamples(
  'eidermast status',
  'eidermast config check answer.ini && eidermast template publish rider-answer answer.ini',
  'eidermast backend out language-model-3',
  'eidermast explain 0192f0c1-7e4b-7a10-8c55-3b0c2e0f9d21 --logs gateway-*.log',
)

const program = new Command('eidermast')
  .description('Operate an Eidermast system: inspect its processes, trace a request, change its configuration.')
  .option('--settings <file>', 'INI file that names the platform and the key of the system\'s processes', 'eidermast.ini')
  .option('--json', 'print a single JSON value instead of text', false)
  .addHelpText('after', `\n${EXAMPLES}\n\n${formatExitCodes()}`)
  .exitOverride(error => process.exit(exitCodeOfParsing(error.exitCode)))

addStatusCommand(program)
addExplainCommand(program)
addTemplateCommands(program)
addAccountCommands(program)
addBackendCommands(program)
addConfigCommands(program)
addLoadCommand(program)

try {
  await program.parseAsync()
}
catch (error) {
  console.error(formatError(error))
  process.exitCode = exitCodeOfError(error)
}
