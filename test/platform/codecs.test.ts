import type { BackendCall } from '@eidermast/gateway'
import { createError, ErrorKind, Ran } from '@eidermast/common'
import { Backend, CallFailureKind, ItemFailure, StageCallEnd } from '@eidermast/gateway'
import { decodeConfiguration, decodeRunResponse, PlatformBackendCodec, PlatformClientCodec } from '@eidermast/platform'
import { describe, expect, test } from 'vitest'
import { createRecord } from '../gateway/support/fakes.js'

const clientCodec = new PlatformClientCodec()
const backendCodec = new PlatformBackendCodec()

const ROUTE = { Name: 'r', Host: 'h', PathPrefix: '/a/', Type: 'streaming', TimeoutMs: 9, TargetLatencyMs: 5, Service: 's' }
const CONFIGURATION = { Version: 4, Routes: [ROUTE], Services: [{ Name: 's' }], Limits: { MaxHeaderBytes: 1, MaxBodyBytes: 2, HeaderTimeoutMs: 3, IdleTimeoutMs: 4 } }

describe('the configuration', () => {
  test('is decoded with default values', () => {
    const configuration = decodeConfiguration(JSON.stringify(CONFIGURATION))
    expect(configuration.version).toBe(4)
    expect(configuration.routes[0]).toMatchObject({ streaming: true, repeatable: false, resumable: false, maxAttempts: 1, stages: [], services: [{ service: 's', weight: 1 }] })
  })

  test('contains the cold start duration and the request rate of cold backend servers', () => {
    const services = [{ Name: 'engine', ColdStartS: 3, ColdPerS: 10 }, { Name: 'plain', ColdStartS: 0, ColdPerS: 0 }]
    const [engine, plain] = decodeConfiguration(JSON.stringify({ ...CONFIGURATION, Services: services })).services
    expect(engine).toMatchObject({ coldStartMs: 3000, coldPerSecond: 10 })
    expect(plain).toMatchObject({ coldStartMs: 0, coldPerSecond: undefined })
  })

  test('contains all weighted services of a route', () => {
    const text = JSON.stringify({ ...CONFIGURATION, Routes: [{ ...ROUTE, Service: undefined, Backends: [{ Service: 'x', Weight: 90 }, { Service: 'y', Weight: 10 }] }] })
    expect(decodeConfiguration(text).routes[0].services).toEqual([{ service: 'x', weight: 90 }, { service: 'y', weight: 10 }])
  })

  test.each([
    ['is truncated', '{"Version":'],
    ['has no version', JSON.stringify({ ...CONFIGURATION, Version: undefined })],
    ['has a route of an unknown type', JSON.stringify({ ...CONFIGURATION, Routes: [{ ...ROUTE, Type: 'other' }] })],
    ['is null', 'null'],
  ])('is rejected if it %s', (_name, text) => {
    expect(() => decodeConfiguration(text)).toThrow()
  })
})

describe('the head of a client request', () => {
  test('forwards all headers except hop-by-hop headers and those that the gateway sets', () => {
    const head = clientCodec.readHead(['Host', 'h', 'Attempt-Id', 'id', 'Connection', 'keep-alive, X-Hop', 'X-Hop', '1', 'X-Other', '2', 'Tenant', 'forged', 'Expected-Replica', 'forged', 'Api-Key', 'secret', 'Deadline-Ms', '700']).unwrap()
    expect(head.headers).toEqual([['Host', 'h'], ['Attempt-Id', 'id'], ['X-Other', '2']])
    expect(head).toMatchObject({ requestId: 'id', key: 'secret', deadlineMs: 700 })
  })

  test('contains the parts of the prompt and the number of items of each stage', () => {
    const head = clientCodec.readHead(['Attempt-Id', 'id', 'Prompt-Prefix', 'aa:800,bb:41', 'Chunk-Count', '2,0,6']).unwrap()
    expect(head.promptParts).toEqual([{ id: 'aa', tokens: 800 }, { id: 'bb', tokens: 41 }])
    expect(head.stageItems).toEqual([2, 0, 6])
  })

  test('names the request that brought the first event of a stream that the client resumes, and forwards it', () => {
    const head = clientCodec.readHead(['Attempt-Id', 'id-2', 'Last-Event-Id', '7', 'Resumes', 'id-1']).unwrap()
    expect(head).toMatchObject({ requestId: 'id-2', lastEventId: '7', resumedRequestId: 'id-1', headers: [['Attempt-Id', 'id-2'], ['Resumes', 'id-1']] })
  })

  test.each([
    ['without a request id', ['Host', 'h']],
    ['with a non-numeric deadline', ['Attempt-Id', 'id', 'Deadline-Ms', 'soon']],
    ['with too many digits in the deadline', ['Attempt-Id', 'id', 'Deadline-Ms', '9'.repeat(30)]],
    ['with non-numeric item counts', ['Attempt-Id', 'id', 'Chunk-Count', '1,x']],
  ])('%s is rejected', (_name, raw) => {
    expect(clientCodec.readHead(raw).isErr()).toBe(true)
  })
})

describe('the status of an error response', () => {
  test.each([
    ['guarantees that nothing was executed if that is known', createError(ErrorKind.Overloaded, '', { retryAfterMs: 1500 }), 429, '1.500'],
    ['guarantees nothing if the request may have been executed', createError(ErrorKind.NoBackend, '', { ran: Ran.Unknown }), 502, undefined],
    ['is 502 for an unknown outcome', createError(ErrorKind.OutcomeUnknown, ''), 502, undefined],
    ['is 503 before a configuration is known', createError(ErrorKind.NotReady, ''), 503, '1.000'],
  ])('%s', (_name, error, status, retryAfter) => {
    const head = clientCodec.errorHead(error, 'id')
    expect(head.status).toBe(status)
    expect(new Map(head.headers).get('Retry-After')).toBe(retryAfter)
  })
})

describe('a call to a backend server', () => {
  const call: BackendCall = { requestId: 'id', method: 'POST', path: '/a/', headers: [['Attempt-Id', 'id'], ['Host', 'h']], body: undefined, remainingMs: 640 }

  test('contains the id of the backend server and the remaining time', () => {
    const headers = new Map(backendCodec.encode(new Backend(createRecord({ id: 'i-1' })), call))
    expect(headers.get('Expected-Replica')).toBe('i-1')
    expect(headers.get('Deadline-Ms')).toBe('640')
    expect(headers.has('Tenant')).toBe(false)
  })

  test('contains client account, priority, inputs and last event id if given', () => {
    const headers = new Map(backendCodec.encode(new Backend(createRecord()), { ...call, account: 't', priority: 12, inputs: ['a/1', 'b/2'], lastEventId: '7' }))
    expect([...headers].slice(-4)).toEqual([['Tenant', 't'], ['Request-Priority', '9'], ['Input-Count', 'a/1,b/2'], ['Last-Event-Id', '7']])
  })

  test.each([
    ['a complete response', 200, {}, undefined],
    ['a failure of the backend server itself', 503, {}, undefined],
    ['a refusal', 503, { 'not-executed': '1' }, CallFailureKind.Refused],
    ['a lost input', 409, { 'not-executed': '1' }, CallFailureKind.InputGone],
    ['a misdirected call', 421, {}, CallFailureKind.Misdirected],
  ])('yields the failure kind for %s', (_name, status, headers, failure) => {
    expect(backendCodec.decode(status, { 'attempt-id': 'id', ...headers }).failure).toBe(failure)
  })

  test('yields the load, or none if it is invalid', () => {
    expect(backendCodec.decode(200, { 'replica-load': '3,1,8' }).load).toEqual({ running: 3, waiting: 1, capacity: 8 })
    expect(backendCodec.decode(200, { 'replica-load': 'x' }).load).toBeUndefined()
  })

  test.each(['Infinity,1,8', '3,1e999,8', '3,1,-8', '-3,1,8'])('yields no load of impossible figures: %s', (header) => {
    expect(backendCodec.decode(200, { 'replica-load': header }).load).toBeUndefined()
  })

  test.each([
    ['3,1,8,170', 1.7],
    ['3,1,8', undefined],
    ['3,1,8,0', undefined],
    ['3,1,8,soon', undefined],
  ])('reads how slow a backend server says it is: %s', (header, slowness) => {
    const { load } = backendCodec.decode(200, { 'replica-load': header })
    expect(load).toMatchObject({ running: 3, waiting: 1, capacity: 8 })
    expect(load?.slowness).toBe(slowness)
  })
})

describe('the response to a stage call', () => {
  test('contains the outcomes of all items in order', () => {
    const text = JSON.stringify({ Items: [{ PromptHandle: 'a/1' }, { Reason: 'gone' }, { Reason: 'late' }, { Reason: 'room' }, { Reason: 'other' }] })
    expect(decodeRunResponse(text, 5)).toEqual({ end: StageCallEnd.Done, outcomes: [{ handle: 'a/1' }, { failure: ItemFailure.InputGone }, { failure: ItemFailure.Late }, { failure: ItemFailure.NoMemory }, { failure: ItemFailure.Error }] })
  })

  test.each([
    ['for fewer items', '{"Items":[{"PromptHandle":"a/1"}]}'],
    ['for more items', '{"Items":[{"PromptHandle":"a"},{"PromptHandle":"b"},{"PromptHandle":"c"}]}'],
    ['that is truncated', '{"Items":[{"Prompt'],
    ['of another type', '[]'],
  ])('%s is invalid', (_name, text) => {
    expect(decodeRunResponse(text, 2).end).toBe(StageCallEnd.Broken)
  })
})
