import type { ChildProcess } from 'node:child_process'
import type { Server } from 'node:net'
import type { GatewayPorts } from './support/gateway-settings.js'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { afterEach, beforeAll, beforeEach, describe, expect, test } from 'vitest'
import { LogPipe } from '../support/log-pipe.js'
import { createSettings, freePorts } from './support/gateway-settings.js'

const BUNDLE = path.resolve('target/eidermast-gateway.mjs')
/** From SIGTERM to SIGKILL; the default of the settings. */
const GRACE_PERIOD_MS = 8000
/** How late the reader of the log is. */
const READER_DELAY_MS = 600
/** Time from SIGTERM after which a gateway without requests that sees no other has ended its stop. */
const STOP_MS = 2900

let ports: GatewayPorts
let pipe: LogPipe
let child: ChildProcess
let exited: Promise<unknown[]>

beforeAll(async () => {
  await import('../../platform/build.mjs' as string)
})

beforeEach(async () => {
  ports = await freePorts()
  pipe = new LogPipe()
})

afterEach(() => {
  child.kill('SIGKILL')
  pipe.close()
})

function startGateway(): void {
  const settings = path.join(mkdtempSync(path.join(tmpdir(), 'eidermast-exit-')), 'gateway.ini')
  writeFileSync(settings, createSettings('gateway-a', ports, '127.0.0.1:1'))
  child = spawn(process.execPath, [BUNDLE], { env: { ...process.env, EIDERMAST_SETTINGS: settings }, stdio: ['ignore', pipe.writeEnd, 'inherit'] })
  exited = once(child, 'exit')
}

/** Starts a gateway and waits until it listens. */
async function startListening(): Promise<void> {
  startGateway()
  await expect.poll(() => pipe.read(), { timeout: 20_000 }).toContain('"event":"listening"')
}

async function occupyPort(): Promise<Server> {
  const owner = createServer().listen(ports.clients, '127.0.0.1')
  await once(owner, 'listening')
  return owner
}

// Guards against a process that exits a fixed time after its last line, which a late reader loses.
describe('a gateway process whose log is read late', () => {
  test('has written why it could not start when it exits', async () => {
    const owner = await occupyPort()
    pipe.fill()
    startGateway()
    const isExited = exited.then(() => true)
    while (!await Promise.race([isExited, delay(READER_DELAY_MS, false)]))
      pipe.read()
    owner.close()
    expect(pipe.read()).toMatch(/"event":"start-failed".*EADDRINUSE/)
    expect(await exited).toEqual([1, null])
  })

  test('has written the end of its graceful stop when it exits', async () => {
    await startListening()
    pipe.fill()
    child.kill('SIGTERM')
    await delay(STOP_MS + READER_DELAY_MS)
    const isExited = exited.then(() => true)
    while (!await Promise.race([isExited, delay(READER_DELAY_MS, false)]))
      pipe.read()
    expect(pipe.read()).toContain('"event":"stopped"')
    expect(await exited).toEqual([0, null])
  })
})

describe('a gateway process whose log is not read at all', () => {
  test('exits if it cannot start', async () => {
    const owner = await occupyPort()
    pipe.fill()
    startGateway()
    const [code] = await exited
    owner.close()
    expect(code).toBe(1)
  })

  test('answers until it stops, and exits before the end of the grace period', async () => {
    await startListening()
    pipe.fill()
    child.kill('SIGTERM')
    const stoppedAt = performance.now()
    const answer = await request(`http://127.0.0.1:${ports.readiness}/`)
    expect(answer.statusCode).toBe(503)
    await answer.body.dump()
    expect(await exited).toEqual([0, null])
    expect(performance.now() - stoppedAt).toBeLessThan(GRACE_PERIOD_MS)
  })
})

describe('a gateway process that receives SIGTERM', () => {
  test.each<[string, number[]]>([
    ['repeatedly while it stops', [0, 50, 1000]],
    ['in quick succession', [0, 0, 0]],
  ])('%s stops gracefully once', async (_name, delays) => {
    await startListening()
    for (const delayMs of delays) {
      await delay(delayMs)
      child.kill('SIGTERM')
    }
    expect(await exited).toEqual([0, null])
    const log = pipe.read()
    expect(log.match(/"event":"stop"/g)).toHaveLength(1)
    expect(log.match(/"event":"stopped"/g)).toHaveLength(1)
  })
})
