/**
 * The command groups `template` and `account`: publish, delete, show and list
 * objects.
 */
import type { Command } from 'commander'
import type { FileKind } from '../object-file.js'
import { ObjectKind } from '@eidermast/daemon'
import { InvalidArgumentError } from 'commander'
import { CommandFailure, ExitCode } from '../exit-codes.js'
import { loadObjectFile } from '../object-file.js'
import {
  exampleHelp,
  failWithErrors,
  formatTable,
  globalOptions,
  print,
  reportPublication,
  requireConfiguration,
  withOperator,
} from './command-context.js'

interface ChangeOptions {
  base?: number
}

/** Help texts for one kind of object. */
interface GroupHelpTexts {
  description: string
  /** Object name used in the examples. */
  name: string
}

const BASE_HELP = 'offset of the version that this change is based on (default: the newest)'

/** Adds the group `template`. */
export function addTemplateCommands(program: Command): void {
  addObjectCommands(program, ObjectKind.Template, {
    description: 'publish, show, list and delete pipeline templates',
    name: 'rider-answer',
  })
}

/** Adds the group `account`. */
export function addAccountCommands(program: Command): void {
  addObjectCommands(program, ObjectKind.Account, {
    description: 'publish, show, list and delete client accounts',
    name: 'depot-control',
  })
}

/** Shows one object of any kind. */
export async function showObject(kind: ObjectKind, name: string, command: Command): Promise<void> {
  const options = globalOptions(command)
  await withOperator(options, async (operator) => {
    const object = (await requireConfiguration(operator)).get(kind, name)
    if (!object)
      throw new CommandFailure(ExitCode.NotFound, `no ${kind} is named ${name}`)
    print(options, object, [`${kind} ${name} at offset ${object.offset}`, JSON.stringify(object.value, undefined, 2)])
  })
}

/** Lists the objects of a kind. */
export async function listObjects(kind: ObjectKind, command: Command): Promise<void> {
  const options = globalOptions(command)
  await withOperator(options, async (operator) => {
    const objects = (await requireConfiguration(operator)).list(kind)
    const rows = objects.map(object => [object.name, String(object.offset)])
    print(options, objects, formatTable([['name', 'offset'], ...rows]))
  })
}

function addObjectCommands(program: Command, kind: FileKind, text: GroupHelpTexts): void {
  const group = program.command(kind).description(text.description)
  group.command('publish <name> <file>')
    .description(`publish a new version of the ${kind} from an INI file, or from a JSON file as show prints it`)
    .option('--base <offset>', BASE_HELP, parseOffset)
    .addHelpText('after', exampleHelp(`eidermast ${kind} publish ${text.name} ${text.name}.ini`))
    .action((name: string, file: string, options: ChangeOptions, command: Command) => publish(kind, name, file, options, command))
  group.command('delete <name>')
    .description(`delete the ${kind}`)
    .option('--base <offset>', BASE_HELP, parseOffset)
    .action((name: string, options: ChangeOptions, command: Command) => remove(kind, name, options, command))
  group.command('show <name>')
    .description(`show the newest version of the ${kind}`)
    .action((name: string, _options: object, command: Command) => showObject(kind, name, command))
  group.command('list')
    .description(`list every ${kind} with the offset of its newest version`)
    .action((_options: object, command: Command) => listObjects(kind, command))
  group.addHelpText('after', exampleHelp(
    `eidermast ${kind} list`,
    `eidermast --json ${kind} show ${text.name}`,
    `eidermast ${kind} publish ${text.name} ${text.name}.ini`,
  ))
}

async function publish(kind: FileKind, name: string, file: string, change: ChangeOptions, command: Command): Promise<void> {
  const options = globalOptions(command)
  const loaded = loadObjectFile(kind, file)
  if (loaded.isErr())
    failWithErrors(loaded.error)
  await withOperator(options, async (operator) => {
    reportPublication(options, await operator.publish({ kind, name, value: loaded.value, base: change.base }))
  })
}

async function remove(kind: FileKind, name: string, change: ChangeOptions, command: Command): Promise<void> {
  const options = globalOptions(command)
  await withOperator(options, async (operator) => {
    if (!(await requireConfiguration(operator)).get(kind, name))
      throw new CommandFailure(ExitCode.NotFound, `no ${kind} is named ${name}`)
    reportPublication(options, await operator.publish({ kind, name, value: null, base: change.base }))
  })
}

function parseOffset(text: string): number {
  if (!/^-1$|^\d+$/.test(text))
    throw new InvalidArgumentError('An offset is a whole number; -1 stands for an object that does not exist yet.')
  return Number(text)
}
