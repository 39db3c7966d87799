/**
 * Runs one stand-in as a process of its own; prints its URL as one JSON line.
 */
import { Command } from 'commander'
import { BackendKind, BackendService } from './backend-service.js'
import { delay } from './http-service.js'
import { LogService } from './log-service.js'
import { MachineListService, WeightStoreService } from './platform-services.js'

/** Time for the side to read that this backend server drains, in milliseconds. */
const DRAIN_NOTICE_MS = 1000

interface StandInOptions {
  retentionMs: string
  lagMs: string
  kind: BackendKind
  slots: string
  baseMs: string
  tokenMs: string
  port: string
  checksFences: boolean
  runsFile?: string
}

const program = new Command('stand-in')
  .argument('<service>', 'log, machines, weights or backend')
  .option('--retention-ms <n>', 'log: milliseconds for which records are kept', '86400000')
  .option('--lag-ms <n>', 'machines: milliseconds by which the list lags', '0')
  .option('--kind <kind>', 'backend: engine, pool or plain', BackendKind.Pool)
  .option('--slots <n>', 'backend: runs at once', '8')
  .option('--base-ms <n>', 'backend: milliseconds of a run', '5')
  .option('--token-ms <n>', 'backend: milliseconds of a token', '1')
  .option('--port <n>', 'backend: port to listen on', '0')
  .option('--runs-file <file>', 'backend: file to which every run is appended')
  .option('--checks-fences', 'backend: refuse orders with an old fence', false)

program.parse()
await main(program.args[0], program.opts<StandInOptions>())

async function main(name: string, options: StandInOptions): Promise<void> {
  const service = await start(name, options)
  process.stdout.write(`${JSON.stringify({ service: name, url: service.url, pid: process.pid })}\n`)
}

function start(name: string, options: StandInOptions) {
  switch (name) {
    case 'log':
      return new LogService({ retentionMs: Number(options.retentionMs) }).start()
    case 'machines':
      return new MachineListService(Number(options.lagMs)).start()
    case 'weights':
      return new WeightStoreService().start()
    case 'backend':
      return startBackend(options)
    default:
      throw new Error(`no stand-in is named ${name}; use log, machines, weights or backend`)
  }
}

function startBackend(options: StandInOptions) {
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
  backend.draining = true
  await delay(DRAIN_NOTICE_MS)
  while (!backend.idle)
    await delay(20)
  process.exit(0)
}
