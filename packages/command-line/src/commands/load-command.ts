/**
 * The command `load`: sends requests to the configured entries and reports
 * their outcomes.
 */
import type { Command } from 'commander'
import type { GroupReport, LoadKind, LoadReport } from '../load/index.js'
import type { GlobalOptions } from './command-context.js'
import { InvalidArgumentError } from 'commander'
import { CommandFailure, ExitCode } from '../exit-codes.js'
import { createLoadKinds, runLoad } from '../load/index.js'
import { exampleHelp, formatTable, globalOptions, print, requireConfiguration, requireSettings, withOperator } from './command-context.js'

const DESCRIPTION = 'send requests to all published templates and plain services '
  + 'at planned times, whether or not earlier ones were answered, and report their outcomes'

const HEADINGS = ['group', 'sent', 'attained', 'attainment', 'late', 'refused', 'wrong', 'lost', 'p50 ms', 'p95 ms', 'p99 ms']

interface LoadOptions {
  /** Requests per second. */
  rate: number
  seconds: number
  seed: number
}

/** Requests per second; far below the capacity of the smallest deployment. */
const DEFAULT_RATE = 50

const DEFAULT_SECONDS = 10

/** A fixed default, so that two runs send the same requests. */
const DEFAULT_SEED = 1

/** Adds the command `load`. */
export function addLoadCommand(program: Command): void {
  program.command('load')
    .description(DESCRIPTION)
    .option('--rate <n>', 'requests per second', parsePositive, DEFAULT_RATE)
    .option('--seconds <n>', 'duration in seconds for which requests are sent', parsePositive, DEFAULT_SECONDS)
    .option('--seed <n>', 'seed for arrival times and request mix; the same seed sends the same requests', parsePositive, DEFAULT_SEED)
    .addHelpText('after', exampleHelp('eidermast load --rate 100 --seconds 30'))
    .action((options: LoadOptions, command: Command) => load(options, command))
}

async function load({ rate, seconds, seed }: LoadOptions, command: Command): Promise<void> {
  const options = globalOptions(command)
  const entryUrls = requireSettings(options).callers.entries
  if (entryUrls.length === 0)
    throw new CommandFailure(ExitCode.BadInput, 'no entries are configured; set the key entries of the section [callers] in the settings')
  const kinds = await readKinds(options)
  const report = await runLoad({ entryUrls, kinds, ratePerSecond: rate, seconds, seed, onProgress: showProgress })
  print(options, report, formatReport(report))
}

async function readKinds(options: GlobalOptions): Promise<LoadKind[]> {
  const kinds = createLoadKinds(await withOperator(options, requireConfiguration))
  if (kinds.length === 0)
    throw new CommandFailure(ExitCode.NotFound, 'no templates or plain services are published')
  return kinds
}

function parsePositive(text: string): number {
  const value = Number(text)
  if (!(value > 0))
    throw new InvalidArgumentError('It must be a number above 0.')
  return value
}

/** Writes progress to standard error, and only if it is a terminal. */
function showProgress(sent: number, completed: number): void {
  if (process.stderr.isTTY)
    process.stderr.write(`\rsent ${sent}, completed ${completed} `)
}

function formatReport(report: LoadReport): string[] {
  const groups = [report.overall, ...report.groups]
  const refusals = Object.entries(report.refusals).map(([kind, count]) => `${kind} ${count}`)
  const costs = Object.entries(report.costByStage).map(([stage, cost]) => `${stage} ${cost.toFixed(1)}`)
  return [
    `${report.ratePerSecond} requests per second for ${report.seconds} s; goodput ${report.goodputPerSecond.toFixed(1)} per second`,
    ...formatTable([HEADINGS, ...groups.map(formatGroup)]),
    `refusals: ${refusals.join(', ') || 'none'}; answered within ${report.refusalP99} ms at p99`,
    `cost by stage: ${costs.join(', ') || 'none'}`,
  ]
}

function formatGroup(group: GroupReport): string[] {
  return [
    group.group,
    String(group.sent),
    String(group.attained),
    group.attainment.toFixed(4),
    String(group.late),
    String(group.refused),
    String(group.wrong),
    String(group.lost),
    String(group.p50),
    String(group.p95),
    String(group.p99),
  ]
}
