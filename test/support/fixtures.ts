/**
 * Shared test fixtures.
 */
import type { Backend, BackendClient, BackendResult, ChangeRecord, Load, ObjectKind, StageCall, Template } from '@eidermast/daemon'
import { BackendOutcome, backendSchema, Priority, RecordKind, templateSchema } from '@eidermast/daemon'
import { Ok } from 'ts-results-es'
import { v7 as uuidv7 } from 'uuid'

/** Creates a template with one stage. */
export function createTemplate(deadlineMs = 1000): Template {
  return templateSchema.parse({ stages: [{ name: 'encode', service: 'encoder' }], deadlineMs })
}

/** Creates a backend server with the order `in`. */
export function createBackend(overrides: Partial<Backend> = {}): Backend {
  return backendSchema.parse({ order: 'in', service: 'encoder', virtualMachine: 'vm-1', address: '127.0.0.1:1', failureDomain: 'a', ...overrides })
}

/** Creates a change record for one object. */
export function createChange(kind: ObjectKind, name: string, base: number, value: unknown): ChangeRecord {
  return { record: RecordKind.Change, id: uuidv7(), kind, name, base, value, author: 'test' }
}

export const SIDE_INCARNATION = uuidv7()
const ENTRY_INCARNATION = uuidv7()

export function createStageCall(overrides: Partial<StageCall> = {}, attempt = 1, requestId = uuidv7()): StageCall {
  return {
    identity: { entryIncarnation: ENTRY_INCARNATION, account: 'rider-app', requestId, stage: 'encode', attempt, sideIncarnation: SIDE_INCARNATION },
    backend: 'encoder-1',
    service: 'encoder',
    priority: Priority.Normal,
    budgetMs: 60_000,
    maxTokens: 1,
    input: 'input',
    offset: 0,
    ...overrides,
  }
}

/** Creates the load report of an idle side. */
export function createLoad(overrides: Partial<Load> = {}): Load {
  return { running: 0, queued: { high: 0, normal: 0, low: 0 }, slots: 1, meanServiceMs: 10, draining: false, ...overrides }
}

/** A call that is pending in a fake backend server until the test completes it. */
export interface HeldCall {
  call: StageCall
  end: (result: Partial<BackendResult>) => void
}

/** A fake backend server whose calls the test completes individually. */
export class FakeBackend implements BackendClient {
  readonly held: HeldCall[] = []
  /** Keys of every call that reached the backend server. */
  readonly started: string[] = []

  run(call: StageCall, signal: AbortSignal): Promise<BackendResult> {
    this.started.push(`${call.identity.requestId}/${call.identity.attempt}`)
    return new Promise((resolve) => {
      const end = (result: Partial<BackendResult>): void => resolve({ outcome: BackendOutcome.Done, output: `out of ${call.input}`, tokens: 0, message: '', ...result })
      this.held.push({ call, end })
      signal.addEventListener('abort', () => end({ outcome: BackendOutcome.Stopped }))
    })
  }

  async readLoad() {
    return Ok({ running: this.held.length, draining: false, instance: 'fake' })
  }

  async order() {
    return Ok.EMPTY
  }

  async close() {}
}
