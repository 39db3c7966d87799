/**
 * Runs one stand-in as a process of its own; prints its URL as one JSON line
 * once it listens. The launcher starts it.
 */
import type { BackendKind } from './backend-service.js'
import type { StandInService } from './http-service.js'
import { wait } from '@eidermast/common'
import { Command } from 'commander'
import { BackendService } from './backend-service.js'
import { DAY_MS, LogService } from './log-service.js'
import { VirtualMachineListService } from './virtual-machine-list-service.js'
import { WeightStoreService } from './weight-store-service.js'

/** Milliseconds for the side to read that its backend server drains; it asks four times a second (`load-interval-ms`). */
const DRAIN_NOTICE_MS = 1000

/** Milliseconds between two looks at whether a draining backend server is idle. */
const IDLE_POLL_MS = 20

interface LogOptions {
  retentionMs: string
}

interface BackendOptions {
  kind: BackendKind
  slots: string
  baseMs: string
  tokenMs: string
  port: string
  checksFences: boolean
  runsFile?: string
}

const program = new Command('stand-in').description('Run one stand-in of the platform, or of a backend server')

program.command('log')
  .option('--retention-ms <n>', 'milliseconds for which records are kept', String(DAY_MS))
  .action(({ retentionMs }: LogOptions) => announce(new LogService({ retentionMs: Number(retentionMs) }).start()))

program.command('virtual-machines')
  .action(() => announce(new VirtualMachineListService().start()))

program.command('weights')
  .action(() => announce(new WeightStoreService().start()))

program.command('backend')
  .requiredOption('--kind <kind>', 'engine, pool or plain')
  .requiredOption('--slots <n>', 'runs at once')
  .requiredOption('--base-ms <n>', 'milliseconds of a run')
  .requiredOption('--token-ms <n>', 'milliseconds of a token')
  .option('--port <n>', 'port to listen on; 0 takes one from the system', '0')
  .option('--runs-file <file>', 'file to which every run is appended')
  .option('--checks-fences', 'refuse orders with an old fence', false)
  .action((options: BackendOptions) => announce(startBackend(options)))

await program.parseAsync()

async function announce(starting: Promise<StandInService>): Promise<void> {
  const { url } = await starting
  process.stdout.write(`${JSON.stringify({ url, pid: process.pid })}\n`)
}

function startBackend(options: BackendOptions): Promise<StandInService> {
  const backend = new BackendService({
    kind: options.kind,
    slots: Number(options.slots),
    baseMs: Number(options.baseMs),
    tokenMs: Number(options.tokenMs),
    checksFences: options.checksFences,
    runsFile: options.runsFile,
  })
  process.on('SIGTERM', () => void drain(backend))
  return backend.start(Number(options.port))
}

/** A planned stop: takes nothing new, says so in its load, finishes what runs. */
async function drain(backend: BackendService): Promise<void> {
  backend.beginDrain()
  await wait(DRAIN_NOTICE_MS)
  while (!backend.idle)
    await wait(IDLE_POLL_MS)
  process.exit(0)
}
