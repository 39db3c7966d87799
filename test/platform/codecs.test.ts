import type { BackendCall } from '@eidermast/gateway'
import { createError, ErrorKind, Ran } from '@eidermast/common'
import { Backend, CallFailureKind, ItemFailure, StageCallEnd } from '@eidermast/gateway'
import { decodeConfiguration, decodeRunAnswer, PlatformBackendCodec, PlatformClientCodec } from '@eidermast/platform'
import { describe, expect, test } from 'vitest'
import { createRecord } from '../gateway/support/fakes.js'

const clientCodec = new PlatformClientCodec()
const backendCodec = new PlatformBackendCodec()

const ROUTE = { Name: 'r', Host: 'h', PathPrefix: '/a/', Type: 'streaming', TimeoutMs: 9, TargetLatencyMs: 5, Service: 's' }
const CONFIGURATION = { Version: 4, Routes: [ROUTE], Services: [{ Name: 's' }], Limits: { MaxHeaderBytes: 1, MaxBodyBytes: 2, HeaderTimeoutMs: 3, IdleTimeoutMs: 4 } }

describe('the configuration', () => {
  test('is decoded with its defaults', () => {
    const configuration = decodeConfiguration(JSON.stringify(CONFIGURATION))
    expect(configuration.version).toBe(4)
    expect(configuration.routes[0]).toMatchObject({ streaming: true, repeatable: false, resumable: false, maxAttempts: 1, stages: [], services: [{ service: 's', weight: 1 }] })
  })

  test('contains how long backend servers are cold after a start, and the request rate until then', () => {
    const services = [{ Name: 'engine', ColdStartS: 3, ColdPerS: 10 }, { Name: 'plain', ColdStartS: 0, ColdPerS: 0 }]
    const [engine, plain] = decodeConfiguration(JSON.stringify({ ...CONFIGURATION, Services: services })).services
    expect(engine).toMatchObject({ coldStartMs: 3000, coldPerSecond: 10 })
    expect(plain).toMatchObject({ coldStartMs: 0, coldPerSecond: undefined })
  })

  test('contains every weighted service of a route', () => {
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

describe('the head of a client\'s request', () => {
  test('forwards all headers except hop-by-hop headers and those that the gateway sets', () => {
    const head = clientCodec.readHead(['Host', 'h', 'Attempt-Id', 'id', 'Connection', 'keep-alive, X-Hop', 'X-Hop', '1', 'X-Other', '2', 'Tenant', 'forged', 'Expected-Replica', 'forged', 'Api-Key', 'secret', 'Deadline-Ms', '700']).unwrap()
    expect(head.headers).toEqual([['Host', 'h'], ['Attempt-Id', 'id'], ['X-Other', '2']])
    expect(head).toMatchObject({ requestId: 'id', key: 'secret', deadlineMs: 700 })
  })

  test('contains the parts of the prompt and the items of each stage', () => {
    const head = clientCodec.readHead(['Attempt-Id', 'id', 'Prompt-Prefix', 'aa:800,bb:41', 'Chunk-Count', '2,0,6']).unwrap()
    expect(head.promptParts).toEqual([{ id: 'aa', tokens: 800 }, { id: 'bb', tokens: 41 }])
    expect(head.stageItems).toEqual([2, 0, 6])
  })

  test.each([
    ['without an id', ['Host', 'h']],
    ['with a deadline that is not a number', ['Attempt-Id', 'id', 'Deadline-Ms', 'soon']],
    ['with a deadline that is out of range', ['Attempt-Id', 'id', 'Deadline-Ms', '9'.repeat(30)]],
    ['with items that are not numbers', ['Attempt-Id', 'id', 'Chunk-Count', '1,x']],
  ])('%s is rejected', (_name, raw) => {
    expect(clientCodec.readHead(raw).isErr()).toBe(true)
  })
})

describe('the status of an error', () => {
  test.each([
    ['guarantees that the request did not run if nothing ran', createError(ErrorKind.Overloaded, '', { retryAfterMs: 1500 }), 429, '1.500'],
    ['guarantees nothing if something may have run', createError(ErrorKind.NoBackend, '', { ran: Ran.Unknown }), 502, undefined],
    ['is 502 for an unknown outcome', createError(ErrorKind.OutcomeUnknown, ''), 502, undefined],
    ['is 503 while no configuration is known', createError(ErrorKind.NotReady, ''), 503, '1.000'],
  ])('%s', (_name, error, status, retryAfter) => {
    const head = clientCodec.errorHead(error, 'id')
    expect(head.status).toBe(status)
    expect(new Map(head.headers).get('Retry-After')).toBe(retryAfter)
  })
})

describe('a call to a backend server', () => {
  const call: BackendCall = { requestId: 'id', method: 'POST', path: '/a/', headers: [['Attempt-Id', 'id'], ['Host', 'h']], body: undefined, remainingMs: 640 }

  test('contains the id of its backend server and the remaining time', () => {
    const headers = new Map(backendCodec.encode(new Backend(createRecord({ id: 'i-1' })), call))
    expect(headers.get('Expected-Replica')).toBe('i-1')
    expect(headers.get('Deadline-Ms')).toBe('640')
    expect(headers.has('Tenant')).toBe(false)
  })

  test('contains client account, priority, inputs and the last event id if they are set', () => {
    const headers = new Map(backendCodec.encode(new Backend(createRecord()), { ...call, account: 't', priority: 12, inputs: ['a/1', 'b/2'], lastEventId: '7' }))
    expect([...headers].slice(-4)).toEqual([['Tenant', 't'], ['Request-Priority', '9'], ['Input-Count', 'a/1,b/2'], ['Last-Event-Id', '7']])
  })

  test.each([
    ['a complete response', 200, {}, undefined],
    ['an error of the backend server itself', 503, {}, undefined],
    ['a refusal', 503, { 'not-executed': '1' }, CallFailureKind.Refused],
    ['a lost input', 409, { 'not-executed': '1' }, CallFailureKind.InputGone],
    ['another backend server at the address', 421, {}, CallFailureKind.Misdirected],
  ])('is decoded with the failure kind of %s', (_name, status, headers, failure) => {
    expect(backendCodec.decode(status, { 'attempt-id': 'id', ...headers }).failure).toBe(failure)
  })

  test('is decoded with the load of the response, or none if it is invalid', () => {
    expect(backendCodec.decode(200, { 'replica-load': '3,1,8' }).load).toEqual({ running: 3, waiting: 1, capacity: 8 })
    expect(backendCodec.decode(200, { 'replica-load': 'x' }).load).toBeUndefined()
  })
})

describe('the response to a stage call', () => {
  test('contains an outcome for each item, in order', () => {
    const text = JSON.stringify({ Items: [{ PromptHandle: 'a/1' }, { Reason: 'gone' }, { Reason: 'late' }, { Reason: 'room' }, { Reason: 'other' }] })
    expect(decodeRunAnswer(text, 5)).toEqual({ end: StageCallEnd.Done, outcomes: [{ handle: 'a/1' }, { failure: ItemFailure.InputGone }, { failure: ItemFailure.Late }, { failure: ItemFailure.NoMemory }, { failure: ItemFailure.Error }] })
  })

  test.each([
    ['for fewer items', '{"Items":[{"PromptHandle":"a/1"}]}'],
    ['for more items', '{"Items":[{"PromptHandle":"a"},{"PromptHandle":"b"},{"PromptHandle":"c"}]}'],
    ['that is truncated', '{"Items":[{"Prompt'],
    ['that is not an object', '[]'],
  ])('%s counts as broken', (_name, text) => {
    expect(decodeRunAnswer(text, 2).end).toBe(StageCallEnd.Broken)
  })
})
