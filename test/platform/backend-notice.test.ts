import { readNotice } from '@eidermast/platform'
import { expect, test } from 'vitest'

test.each([
  { header: undefined, limit: undefined },
  { header: '1.3', limit: 1.3 },
  { header: '0', limit: 0 },
  { header: ' 2 ', limit: 2 },
  { header: ['3', '2.5'], limit: 2.5 },
  { header: '3, 2.5', limit: 2.5 },
  { header: '-1', limit: undefined },
  { header: 'soon', limit: undefined },
  { header: '', limit: undefined },
  { header: 'Infinity', limit: undefined },
])('limit header $header sets a limit of $limit requests per second', ({ header, limit }) => {
  expect(readNotice(200, { 'server-limit': header }).limitPerSecond).toBe(limit)
})

test('a misdirected response sets no limit', () => {
  expect(readNotice(421, { 'server-limit': '1' }).limitPerSecond).toBeUndefined()
})

test.each([
  { status: 503, header: '3', backoffMs: 3000 },
  { status: 503, header: '0.25', backoffMs: 250 },
  { status: 503, header: 'Wed, 21 Oct 2026 07:28:00 GMT', backoffMs: undefined },
  { status: 503, header: '-1', backoffMs: undefined },
  { status: 503, header: undefined, backoffMs: undefined },
  { status: 429, header: '3', backoffMs: undefined },
  { status: 200, header: '3', backoffMs: undefined },
])('status $status with Retry-After $header requests a pause of $backoffMs ms', ({ status, header, backoffMs }) => {
  expect(readNotice(status, { 'retry-after': header }).backoffMs).toBe(backoffMs)
})

test.each([
  { header: '1', isLeaving: true },
  { header: '0', isLeaving: false },
  { header: undefined, isLeaving: false },
])('leaving header $header is decoded as isLeaving = $isLeaving', ({ header, isLeaving }) => {
  expect(readNotice(200, { 'server-leaving': header }).isLeaving).toBe(isLeaving)
})
