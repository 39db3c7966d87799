/**
 * The command `explain`: shows the decisions about one request, from the
 * decisions that entries and sides keep in memory or from gateway logs.
 */
import type { Decision } from '@eidermast/daemon'
import type { Command } from 'commander'
import type { RequestStory } from '../request-story.js'
import { formatError, formatLine } from '@eidermast/common'
import { CommandFailure, ExitCode } from '../exit-codes.js'
import { formatStory, readLines, readStory } from '../request-story.js'
import { exampleHelp, failUnreachable, globalOptions, print, withOperator } from './command-context.js'

interface ExplainOptions {
  logs?: string[]
}

/** Adds the command `explain`. */
export function addExplainCommand(program: Command): void {
  program.command('explain <request-id>')
    .description('show the decisions about a request: as far as entries and sides still keep them, or from the logs of gateways')
    .option('--logs <files...>', 'log files of gateways, or - for standard input; give those of all gateways')
    .addHelpText('after', exampleHelp(
      'eidermast explain 0192f0c1-7e4b-7a10-8c55-3b0c2e0f9d21',
      'eidermast explain 0192f0c1-7e4b-7a10-8c55-3b0c2e0f9d21 --logs gateway-*.log',
    ))
    .action((requestId: string, { logs }: ExplainOptions, command: Command) => {
      return logs ? explainFromLogs(requestId, logs, command) : explainFromProcesses(requestId, command)
    })
}

async function explainFromProcesses(requestId: string, command: Command): Promise<void> {
  const options = globalOptions(command)
  await withOperator(options, async (operator) => {
    const decisions = await operator.explain(requestId) ?? failUnreachable()
    if (decisions.length === 0)
      throw new CommandFailure(ExitCode.NotFound, `no process keeps a decision about ${requestId}`)
    print(options, decisions, decisions.map(formatDecision))
  })
}

async function explainFromLogs(requestId: string, files: string[], command: Command): Promise<void> {
  const story = await readFiles(requestId, files)
  if (story.lines.length === 0)
    throw new CommandFailure(ExitCode.NotFound, describeNothingFound(requestId, story))
  print(globalOptions(command), story, formatStory(story))
}

async function readFiles(requestId: string, files: string[]): Promise<RequestStory> {
  try {
    return await readStory(requestId, readLines(files))
  }
  catch (error) {
    throw new CommandFailure(ExitCode.BadInput, `the logs cannot be read: ${formatError(error)}`)
  }
}

function describeNothingFound(requestId: string, { read, skipped }: RequestStory): string {
  const found = `none of the ${read} lines mentions ${requestId} (${skipped} are not gateway log lines)`
  return `${found}; pass the logs of all gateways`
}

function formatDecision({ at, by, event, fields }: Decision): string {
  return `${new Date(at).toISOString()} ${by} ${formatLine(event, fields)}`
}
