/**
 * Entry point of a stand-in process, which the launcher starts. Prints its URL as
 * a JSON line once it is listening.
 */
import type { BackendKind } from './backend-service.js'
import type { StandInService } from './http-service.js'
import { wait } from '@eidermast/common'
import { Command } from 'commander'
import { BackendService } from './backend-service.js'
import { DAY_MS, LogService } from './log-service.js'
import { VirtualMachineListService } from './virtual-machine-list-service.js'
import { WeightStoreService } from './weight-store-service.js'

/** Time for the side to notice that its backend server is draining; it polls the load four times a second (`load-interval-ms`). */
const DRAIN_PROPAGATION_MS = 1000

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

const program = new Command('stand-in').description('Run a stand-in for a platform service or a backend server')

program.command('log')
  .option('--retention-ms <n>', 'retention period in milliseconds', String(DAY_MS))
  .action(({ retentionMs }: LogOptions) => printListening(new LogService({ retentionMs: Number(retentionMs) }).start()))

program.command('virtual-machines')
  .action(() => printListening(new VirtualMachineListService().start()))

program.command('weights')
  .action(() => printListening(new WeightStoreService().start()))

program.command('backend')
  .requiredOption('--kind <kind>', 'engine, pool or plain')
  .requiredOption('--slots <n>', 'maximum number of concurrent runs')
  .requiredOption('--base-ms <n>', 'duration of a run in milliseconds')
  .requiredOption('--token-ms <n>', 'duration of a token in milliseconds')
  .option('--port <n>', 'port to listen on; 0 lets the operating system choose one', '0')
  .option('--runs-file <file>', 'file to which every run is appended')
  .option('--checks-fences', 'reject orders with an outdated fence', false)
  .action((options: BackendOptions) => printListening(startBackend(options)))

await program.parseAsync()

async function printListening(starting: Promise<StandInService>): Promise<void> {
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

/** Graceful shutdown: rejects new runs, reports draining in the load, and exits when all runs have finished. */
async function drain(backend: BackendService): Promise<void> {
  backend.beginDrain()
  await wait(DRAIN_PROPAGATION_MS)
  while (!backend.idle)
    await wait(IDLE_POLL_MS)
  process.exit(0)
}
