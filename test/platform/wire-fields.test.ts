import { readdirSync, readFileSync } from 'node:fs'
import path from 'node:path'
import process from 'node:process'
import { describe, expect, test } from 'vitest'

/** Fields of one kind of message. */
interface WireMessage {
  title: string
  /** Title of the message in the platform's printed examples. */
  section: RegExp
  /** Fields that the adapter decodes or sets. */
  read: readonly string[]
  /** Fields that no decision needs, and why. */
  unread: Readonly<Record<string, string>>
}

const MODEL_FIELDS = { Models: 'weights are not chosen by the gateway', Adapters: 'part of Models', Name: 'part of Models' }
const PASSED_ON = 'concerns the backend server; passed on unchanged'
const UNUSED_ENGINE_FEATURE = 'of a feature of model engines that the gateway does not use'

/** All fields that the platform's pages name in these messages. */
const MESSAGES: readonly WireMessage[] = [
  {
    title: 'an entry of a backend server',
    section: /^beat\b/,
    read: ['Service', 'Address', 'Zone', 'Version', 'Capacity', 'State', 'ColdRemainingMs', 'born'],
    unread: { ...MODEL_FIELDS, Sequence: 'the position of the record says which entry is newer', Phase: 'engines have one phase here' },
  },
  {
    title: 'the configuration',
    section: /^put the config\b/,
    read: ['Version', 'Routes', 'Services', 'Limits', 'Tenants', 'Name', 'ApiKeys', 'Host', 'PathPrefix', 'Type', 'TimeoutMs', 'TargetLatencyMs', 'TargetGapMs', 'Priority', 'Service', 'Backends', 'Weight', 'MaxAttempts', 'Phases', 'WatchRevision', 'SizeBytes', 'Public', 'StreamResume', 'MaxConnections', 'Engine', 'KvCapacityTokens', 'Segments', 'Capacity', 'Batch', 'CallMs', 'ItemMs', 'HeadroomMb', 'HandleTtlS', 'BandwidthMbps', 'ColdStartS', 'ColdPerS', 'MaxHeaderBytes', 'MaxBodyBytes', 'HeaderTimeoutMs', 'IdleTimeoutMs'],
    unread: {
      Models: MODEL_FIELDS.Models,
      HealthCheckPath: 'health is judged by calls and connections',
      Protocol: 'all speak HTTP/1.1',
      Tls: 'none is used',
      SessionAffinity: 'follows from the parts of a prompt',
      Queue: 'a full backend server says so',
      Backups: UNUSED_ENGINE_FEATURE,
      Moves: UNUSED_ENGINE_FEATURE,
      HoldMs: UNUSED_ENGINE_FEATURE,
      PinMs: UNUSED_ENGINE_FEATURE,
      KvBytes: UNUSED_ENGINE_FEATURE,
      Stride: UNUSED_ENGINE_FEATURE,
      most: UNUSED_ENGINE_FEATURE,
    },
  },
  {
    title: 'the head of a client\'s request',
    section: /^client request\b/,
    read: ['Attempt-Id', 'Host', 'Api-Key', 'Deadline-Ms', 'Prompt-Prefix', 'Chunk-Count', 'Chunk-Key', 'Last-Event-Id', 'Resumes'],
    unread: { 'Model': PASSED_ON, 'Token-Usage': PASSED_ON, 'Length-Hint': PASSED_ON, 'Server-Signature': 'stands in the answer; passed on unchanged' },
  },
  {
    title: 'the head of a backend server\'s answer',
    section: /^(?:a server sheds|another server has the address|health)\b/,
    read: ['Not-Executed', 'Replica-Id', 'Replica-Load', 'Server-Limit', 'Server-Leaving', 'Retry-After', 'Cold-Start-Ms'],
    unread: { 'Server-Signature': 'passed on unchanged', 'Weight-Versions': 'weights are not chosen by the gateway; passed on unchanged' },
  },
]

const sources = readdirSync('platform/src', { recursive: true, encoding: 'utf8' })
  .filter(file => file.endsWith('.ts'))
  .map(file => readFileSync(path.join('platform/src', file), 'utf8'))
  .join('\n')
  .replaceAll(/^import .*$/gm, '')

/** Whether the adapter names a field, as a property or as a header. */
function isNamed(field: string): boolean {
  const pattern = field.includes('-') ? new RegExp(`'${field}'`, 'i') : new RegExp(`\\b${field}\\b|'${field}'`, 'i')
  return pattern.test(sources)
}

describe.each(MESSAGES)('$title', ({ section, read, unread }) => {
  test('has only fields whose decoding the adapter contains, or that are listed as unread', () => {
    expect(read.filter(field => !isNamed(field))).toEqual([])
    expect(Object.keys(unread).filter(field => read.includes(field))).toEqual([])
  })

  // Guards against fields of the wire that no decision reads. The platform's examples are not part of the repository: WIRE_EXAMPLES names a file with them.
  test.runIf(process.env.WIRE_EXAMPLES)('has no field in the platform\'s examples that is neither read nor listed', () => {
    const examples = readFileSync(process.env.WIRE_EXAMPLES!, 'utf8').split(/^== /m).filter(text => section.test(text))
    expect(examples.length).toBeGreaterThan(0)
    const fields = examples.flatMap(text => [...text.matchAll(/"([a-z][\w-]*)":|^([a-z][\w-]+):(?= )/gim)].map(([, key, header]) => key ?? header))
    expect([...new Set(fields)].filter(field => !read.includes(field) && !Object.hasOwn(unread, field))).toEqual([])
  })
})
