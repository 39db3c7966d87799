/**
 * The command `explain`: shows the decisions about one request, from the
 * decisions that entries and sides keep in memory or from gateway logs.
 */
import type { Decision } from '@eidermast/daemon'
import type { Command } from 'commander'
import type { RequestTimeline } from '../request-timeline.js'
import { formatError, formatLine } from '@eidermast/common'
import { CommandFailure, ExitCode } from '../exit-codes.js'
import { formatTimeline, readLines, readTimeline } from '../request-timeline.js'
import { exampleHelp, failUnreachable, globalOptions, print, withOperator } from './command-context.js'

interface ExplainOptions {
  logs?: string[]
}

/** Adds the command `explain`. */
export function addExplainCommand(program: Command): void {
  program.command('explain <request-id>')
    .description('show the decisions about a request that entries and sides still have in memory, or those in the logs of gateways')
    .option('--logs <files...>', 'log files of all gateways, or - for standard input')
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
  const timeline = await readTimelineFromFiles(requestId, files)
  if (timeline.lines.length === 0)
    throw new CommandFailure(ExitCode.NotFound, describeNothingFound(requestId, timeline))
  print(globalOptions(command), timeline, formatTimeline(timeline))
}

async function readTimelineFromFiles(requestId: string, files: string[]): Promise<RequestTimeline> {
  try {
    return await readTimeline(requestId, readLines(files))
  }
  catch (error) {
    throw new CommandFailure(ExitCode.BadInput, `cannot read the logs: ${formatError(error)}`)
  }
}

function describeNothingFound(requestId: string, { read, skipped }: RequestTimeline): string {
  const found = `none of the ${read} lines mentions ${requestId} (${skipped} are not gateway log lines)`
  return `${found}; pass the logs of all gateways`
}

function formatDecision({ at, by, event, fields }: Decision): string {
  return `${new Date(at).toISOString()} ${by} ${formatLine(event, fields)}`
}
