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
])('a limit header $header names $limit requests a second', ({ header, limit }) => {
  expect(readNotice(200, { 'server-limit': header }).limitPerSecond).toBe(limit)
})

test('an answer of another backend server at the address names no limit', () => {
  expect(readNotice(421, { 'server-limit': '1' }).limitPerSecond).toBeUndefined()
})
