/**
 * The command `status`: shows every process, its configuration offset and its
 * view of the other processes.
 */
import type { Command } from 'commander'
import type { QueriedProcess } from '../operator.js'
import { exampleHelp, failUnreachable, formatTable, globalOptions, print, withOperator } from './command-context.js'

const HEADINGS = ['name', 'role', 'address', 'pid', 'offset', 'state', 'detail']

/** Adds the command `status`. */
export function addStatusCommand(program: Command): void {
  program.command('status')
    .description('show every process, its configuration offset and its view of the others; "silent" marks a process that did not answer')
    .addHelpText('after', exampleHelp('eidermast status', 'eidermast --json status'))
    .action((_options: object, command: Command) => status(command))
}

async function status(command: Command): Promise<void> {
  const options = globalOptions(command)
  await withOperator(options, async (operator) => {
    const processes = await operator.status() ?? failUnreachable()
    print(options, processes, formatTable([HEADINGS, ...processes.map(formatRow)]))
  })
}

function formatRow({ name, address, status }: QueriedProcess): string[] {
  if (!status)
    return [name, '-', address, '-', '-', 'silent', '']
  const detail = status.detail.map(line => `${line.subject}=${line.text}`).join(' ')
  return [name, status.role, address, String(status.pid), String(status.offset), status.ready ? 'ready' : 'not ready', detail]
}
