/**
 * The command group `backend`: orders backend servers into and out of service,
 * and shows and lists them.
 */
import type { Backend } from '@eidermast/daemon'
import type { Command } from 'commander'
import { BackendOrder, BackendRole, backendSchema, ObjectKind } from '@eidermast/daemon'
import { Option } from 'commander'
import { CommandFailure, ExitCode } from '../exit-codes.js'
import { exampleHelp, globalOptions, reportPublication, requireConfiguration, withOperator } from './command-context.js'
import { listObjects, showObject } from './object-commands.js'

interface BackendOptions {
  service?: string
  role?: BackendRole
  virtualMachine?: string
  address?: string
  failureDomain?: string
  checksOrders?: boolean
  model?: string
  modelVersion?: string
  adapters?: string
}

/** Adds the group `backend`. */
export function addBackendCommands(program: Command): void {
  const group = program.command('backend').description('order backend servers in or out of service, show and list them')
  addInCommand(group)
  group.command('out <name>')
    .description('order a backend server out of service: it finishes its current work and receives no new work')
    .addHelpText('after', exampleHelp('eidermast backend out language-model-3'))
    .action((name: string, _options: object, command: Command) => orderOut(name, command))
  group.command('show <name>')
    .description('show the newest order and description of a backend server')
    .action((name: string, _options: object, command: Command) => showObject(ObjectKind.Backend, name, command))
  group.command('list')
    .description('list every backend server with the offset of its newest version')
    .action((_options: object, command: Command) => listObjects(ObjectKind.Backend, command))
  group.addHelpText('after', exampleHelp(
    'eidermast backend list',
    'eidermast backend out language-model-3',
    'eidermast backend in language-model-3 --model-version v2',
  ))
}

function addInCommand(group: Command): void {
  group.command('in <name>')
    .description('order a backend server into service; omitted options keep their published values')
    .option('--service <name>', 'pool or plain service that it belongs to')
    .addOption(new Option('--role <role>', 'role of the backend server').choices(Object.values(BackendRole)))
    .option('--virtual-machine <name>', 'VM that it runs on')
    .option('--address <host:port>', 'address of its side')
    .option('--failure-domain <name>', 'its failure domain')
    .option('--checks-orders', 'the backend server itself rejects orders with an outdated fence')
    .option('--no-checks-orders', 'the backend server does not check orders; its side does')
    .option('--model <name>', 'model to load')
    .option('--model-version <name>', 'version to load')
    .option('--adapters <names>', 'adapters to load, separated by commas')
    .addHelpText('after', exampleHelp('eidermast backend in language-model-3 --model-version v2'))
    .action((name: string, options: BackendOptions, command: Command) => orderIn(name, options, command))
}

async function orderIn(name: string, given: BackendOptions, command: Command): Promise<void> {
  const options = globalOptions(command)
  await withOperator(options, async (operator) => {
    const configuration = await requireConfiguration(operator)
    const published = configuration.get(ObjectKind.Backend, name)
    const checked = backendSchema.safeParse({ ...published?.value, ...createBackendOrder(given) })
    if (!checked.success) {
      const errors = checked.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ')
      throw new CommandFailure(ExitCode.BadInput, `the description of the backend server ${name} is invalid: ${errors}`)
    }
    const base = configuration.baseOffset(ObjectKind.Backend, name)
    reportPublication(options, await operator.publish({ kind: ObjectKind.Backend, name, value: checked.data, base }))
  })
}

async function orderOut(name: string, command: Command): Promise<void> {
  const options = globalOptions(command)
  await withOperator(options, async (operator) => {
    const published = (await requireConfiguration(operator)).get(ObjectKind.Backend, name)
    if (!published)
      throw new CommandFailure(ExitCode.NotFound, `no backend server is named ${name}`)
    const value = { ...published.value, order: BackendOrder.Out }
    reportPublication(options, await operator.publish({ kind: ObjectKind.Backend, name, value, base: published.offset }))
  })
}

/** Returns only the fields given on the command line; the others keep their published values. */
function createBackendOrder(options: BackendOptions): Partial<Backend> {
  const order: Partial<Backend> = {
    order: BackendOrder.In,
    service: options.service,
    role: options.role,
    virtualMachine: options.virtualMachine,
    address: options.address,
    failureDomain: options.failureDomain,
    checksOrders: options.checksOrders,
    model: options.model,
    version: options.modelVersion,
    adapters: options.adapters?.split(',').map(adapter => adapter.trim()),
  }
  return Object.fromEntries(Object.entries(order).filter(([, value]) => value !== undefined))
}
