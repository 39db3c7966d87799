import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { text } from 'node:stream/consumers'
import { beforeAll, describe, expect, test } from 'vitest'
import { createSettings, freePorts } from './support/gateway-settings.js'

const BUNDLE = path.resolve('target/eidermast-gateway.mjs')

describe('a gateway process', () => {
  beforeAll(async () => {
    await import('../../platform/build.mjs' as string)
  })

  test.each(['clients', 'readiness', 'peers', 'metrics'] as const)('exits with code 1 and logs the reason if its port for %s is in use', async (kind) => {
    const ports = await freePorts()
    const portOwner = createServer().listen(ports[kind], '127.0.0.1')
    await once(portOwner, 'listening')
    const settings = path.join(mkdtempSync(path.join(tmpdir(), 'eidermast-start-')), 'gateway.ini')
    writeFileSync(settings, createSettings('gateway-a', ports, '127.0.0.1:1'))
    const child = spawn(process.execPath, [BUNDLE], { env: { ...process.env, EIDERMAST_SETTINGS: settings }, stdio: ['ignore', 'pipe', 'inherit'] })
    const [output, [code]] = await Promise.all([text(child.stdout), once(child, 'exit')])
    portOwner.close()
    expect(code).toBe(1)
    expect(output).toMatch(/"event":"start-failed".*EADDRINUSE/)
  })
})
