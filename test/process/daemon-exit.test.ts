import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { LogPipe } from '../support/log-pipe.js'

const PROGRAM = path.resolve('packages/daemon/bin/eidermastd.js')
/** How late the reader of the log is. */
const READER_DELAY_MS = 600
/** Time from SIGTERM after which an entry without requests has ended its stop. */
const STOP_MS = 1700
/** Default of the setting `stop-timeout-ms`, which an entry without requests does not need. */
const STOP_TIMEOUT_MS = 30_000

let pipe: LogPipe
let child: ChildProcess
let exited: Promise<unknown[]>

beforeEach(() => {
  pipe = new LogPipe()
})

afterEach(() => {
  child.kill('SIGKILL')
  pipe.close()
})

/** Starts an entry whose platform cannot be reached. */
function startEntry(peerPort = 0): void {
  const settings = path.join(mkdtempSync(path.join(tmpdir(), 'eidermast-daemon-')), 'entry.ini')
  writeFileSync(settings, `
[process]
role = entry
name = entry-1
virtual-machine = vm-1
failure-domain = a
host = 127.0.0.1
peer-port = ${peerPort}
key = a-key-of-sixteen-letters
[platform]
log = http://127.0.0.1:1
virtual-machines = http://127.0.0.1:2
weight-store = http://127.0.0.1:3
[log]
namespaces = eidermast:*
`)
  child = spawn(process.execPath, [PROGRAM, '--settings', settings], { stdio: ['ignore', 'pipe', pipe.writeEnd] })
  exited = once(child, 'exit')
}

/** Starts an entry and returns its address for callers once it listens. */
async function startListening(): Promise<string> {
  startEntry()
  const [line] = await once(child.stdout!, 'data')
  return (JSON.parse(String(line)) as { caller: string }).caller
}

/** Reads the log, late each time, until the process has exited, and returns all of it. */
async function readLate(): Promise<string> {
  const isExited = exited.then(() => true)
  while (!await Promise.race([isExited, delay(READER_DELAY_MS, false)]))
    pipe.read()
  return pipe.read()
}

// Guards against exits that discard the lines which a late reader has not taken yet.
describe('a daemon whose log is read late', () => {
  test('has written why it could not start when it exits', async () => {
    const owner = createServer().listen(0, '127.0.0.1')
    await once(owner, 'listening')
    pipe.fill()
    startEntry((owner.address() as { port: number }).port)
    const log = await readLate()
    owner.close()
    expect(log).toMatch(/could not start: .*EADDRINUSE/)
    expect(await exited).toEqual([1, null])
  })

  test('has written the end of its graceful stop when it exits', async () => {
    await startListening()
    pipe.fill()
    child.kill('SIGTERM')
    await delay(STOP_MS)
    expect(await readLate()).toContain('event=stopped')
    expect(await exited).toEqual([0, null])
  })
})

describe('a daemon whose log is not read at all', () => {
  test('answers, and exits when it is stopped', async () => {
    const caller = await startListening()
    pipe.fill()
    const answer = await request(`http://${caller}/v1/ready`)
    await answer.body.dump()
    const stoppedAt = performance.now()
    child.kill('SIGTERM')
    child.kill('SIGTERM')
    expect(await exited).toEqual([0, null])
    expect(performance.now() - stoppedAt).toBeLessThan(STOP_TIMEOUT_MS)
  })
})
