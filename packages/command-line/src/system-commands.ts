/**
 * The commands `status`, `explain` and `load`.
 */
import type { Decision } from '@eidermast/daemon'
import type { Command } from 'commander'
import type { RequestStory } from './request-story.js'
import { formatError, formatLine } from '@eidermast/common'
import { InvalidArgumentError } from 'commander'
import { CommandFailure, failUnreachable, failWithFaults, globalOptions, withOperator } from './context.js'
import { ExitCode } from './exit-codes.js'
import { createLoadKinds, formatReport, runLoad } from './load/index.js'
import { formatTable, print } from './output.js'
import { formatStory, readLines, readStory } from './request-story.js'
import { loadCommandLineSettings } from './settings.js'

interface ExplainCommandOptions {
  logs?: string[]
}

interface LoadCommandOptions {
  rate: number
  seconds: number
  seed: number
}

function parsePositive(text: string): number {
  const value = Number(text)
  if (!(value > 0))
    throw new InvalidArgumentError('It must be a number above 0.')
  return value
}

/** Adds the commands that look at, and load, a running system. */
export function addSystemCommands(program: Command): void {
  program.command('status')
    .description('show every process, its configuration offset and what it sees')
    .action((_options: object, command: Command) => status(command))
  program.command('explain <request-id>')
    .description('show the decisions about a request, as far as processes still keep them, or from their logs')
    .option('--logs <files...>', 'log files of gateways, or - for standard input')
    .action((requestId: string, { logs }: ExplainCommandOptions, command: Command) => logs ? explainFromLogs(requestId, logs, command) : explain(requestId, command))
  program.command('load')
    .description('send an open-loop load to the entries of the settings and report what came of it')
    .option('--rate <n>', 'requests a second', parsePositive, 50)
    .option('--seconds <n>', 'how long', parsePositive, 10)
    .option('--seed <n>', 'seed of arrivals and mix', parsePositive, 1)
    .action((options: LoadCommandOptions, command: Command) => load(options, command))
}

async function status(command: Command): Promise<void> {
  const options = globalOptions(command)
  await withOperator(options, async (operator) => {
    const asked = await operator.status() ?? failUnreachable()
    const rows = asked.map(({ name, address, status }) => status
      ? [name, status.role, address, String(status.pid), String(status.offset), status.ready ? 'ready' : 'not ready', status.detail.map(line => `${line.subject}=${line.text}`).join(' ')]
      : [name, '-', address, '-', '-', 'silent', ''])
    print(options, asked, formatTable([['name', 'role', 'address', 'pid', 'offset', 'state', 'detail'], ...rows]))
  })
}

async function explain(requestId: string, command: Command): Promise<void> {
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
    throw new CommandFailure(ExitCode.NotFound, `none of the ${story.read} lines speaks of ${requestId} (${story.skipped} are no log lines of a gateway); give the logs of all gateways`)
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

function formatDecision({ at, by, event, fields }: Decision): string {
  return `${new Date(at).toISOString()} ${by} ${formatLine(event, fields)}`
}

async function load(load: LoadCommandOptions, command: Command): Promise<void> {
  const options = globalOptions(command)
  const settings = loadCommandLineSettings(options.settings)
  if (settings.isErr())
    failWithFaults(settings.error)
  const entryUrls = settings.value.callers.entries
  if (entryUrls.length === 0)
    throw new CommandFailure(ExitCode.BadInput, 'name the entries under [callers] entries in the settings')
  const configuration = await withOperator(options, async operator => await operator.configuration() ?? failUnreachable())
  const kinds = createLoadKinds(configuration)
  if (kinds.length === 0)
    throw new CommandFailure(ExitCode.NotFound, 'no template and no plain service is published')
  const report = await runLoad({ entryUrls, kinds, ratePerSecond: load.rate, seconds: load.seconds, seed: load.seed, onProgress: showProgress })
  print(options, report, formatReport(report))
}

/** Progress goes to the terminal alone, never into piped output. */
function showProgress(sent: number, answered: number): void {
  if (process.stderr.isTTY)
    process.stderr.write(`\rsent ${sent}, answered ${answered} `)
}
