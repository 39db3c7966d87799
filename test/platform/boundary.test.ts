import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { expect, test } from 'vitest'

const ROOT = join(import.meta.dirname, '../..')
const MAX_LINES = 1500
/** Names in the platform's protocol, settings and store; outside the platform folder the product uses its own names. */
const PLATFORM_NAMES = /Attempt-Id|Server-Signature|Prompt-Prefix|Expected-Replica|Not-Executed|Input-Count|Chunk-Count|Chunk-Key|Deadline-Ms|Api-Key|Request-Priority|log-newest|log-read|log-append|stage-run(?!ner)|stage-free|'keyed\.(?:op|servers|status)|EIDERMAST_SETTINGS|HeadroomMb|WatchRevision|TlsKey|PromptHandle|GracePeriodS/i

/** Names of deployments, their failure domains, services and request kinds, and of benchmark scenarios. The deployments of the stand-ins are examples and not included. */
const DEPLOYMENT_NAMES = /\b(?:wlj|firmasur|amlm|(?:quiet|trouble|scale)-\d|hall-[a-d]|mvd-[ab]|cnl-c|sala-\w+|mids-west|uy-sur|mx-centro|lm-pool|rider-(?:api|ask)|feed-(?:ingest|tag)|council-portal|alert-push|eidermast-pool|queue-gate|key-custody|legacy-intake|audit-ledger|modelo-lectores|campo-api|facturacion|rutas|quejas|ruta-resumen|disputa-nota|lectura-\w+|foto-medidor|digest-draft|stop-lookup|live-dep|fleetbench)\b/i

/** The product's own header, and the product's own key in templates. */
const OWN_DEADLINE = /(?:eidermast-|')deadline-ms/gi

function sourceFiles(folder: string): string[] {
  return readdirSync(join(ROOT, folder), { recursive: true, encoding: 'utf8' }).filter(file => file.endsWith('.ts') && !file.endsWith('.d.ts')).map(file => join(folder, file))
}

test('no source outside the platform folder contains a platform name', () => {
  const packages = readdirSync(join(ROOT, 'packages')).flatMap(name => sourceFiles(`packages/${name}/src`))
  expect(packages.length).toBeGreaterThan(50)
  const leaks = packages.filter(file => PLATFORM_NAMES.test(readFileSync(join(ROOT, file), 'utf8').replaceAll(OWN_DEADLINE, '')))
  expect(leaks).toEqual([])
})

test('no source contains the name of a deployment or of a benchmark scenario', () => {
  const folders = ['common', 'gateway', 'daemon', 'command-line'].map(name => `packages/${name}/src`)
  const files = [...folders, 'platform/src'].flatMap(sourceFiles)
  expect(files.filter(file => DEPLOYMENT_NAMES.test(readFileSync(join(ROOT, file), 'utf8')))).toEqual([])
})

test('the platform folder stays small, because it only translates', () => {
  const lines = sourceFiles('platform/src').reduce((sum, file) => sum + readFileSync(join(ROOT, file), 'utf8').split('\n').length, 0)
  expect(lines).toBeLessThan(MAX_LINES)
})
