import { DeadlineQueue, Priority, RefusalReason } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'
import { createStageCall } from '../../support/fixtures.js'

describe('the deadline queue', () => {
  const server = { now: 0, running: 1, slots: 1 }

  function createQueuedCall(priority: Priority, finishBy: number, expectedServiceMs = 0) {
    return { call: createStageCall({ priority }), arrivedAt: 0, finishBy, expectedServiceMs }
  }

  test('orders calls by priority, then by earliest deadline', () => {
    const queue = new DeadlineQueue({ limit: 10, bytes: 1000 })
    const calls = [
      createQueuedCall(Priority.Low, 10),
      createQueuedCall(Priority.High, 900),
      createQueuedCall(Priority.Normal, 500),
      createQueuedCall(Priority.High, 100),
    ]
    calls.forEach(call => queue.offer(call, server))
    const order = [1, 2, 3, 4].map(() => queue.take(0).next)
    expect(order).toEqual([calls[3], calls[1], calls[2], calls[0]])
  })

  test('immediately refuses a call that cannot finish in time after the calls ahead of it', () => {
    const queue = new DeadlineQueue({ limit: 10, bytes: 1000 })
    queue.offer(createQueuedCall(Priority.High, 1000, 100), server)
    expect(queue.offer(createQueuedCall(Priority.Normal, 240, 100), server)).toBe(RefusalReason.Late)
    expect(queue.offer(createQueuedCall(Priority.Normal, 300, 100), server)).toBeUndefined()
  })

  test('refuses a call that can no longer finish in time when it reaches the head of the queue', () => {
    const queue = new DeadlineQueue({ limit: 10, bytes: 1000 })
    const late = createQueuedCall(Priority.High, 300, 100)
    const inTime = createQueuedCall(Priority.Low, 1000, 100)
    queue.offer(late, server)
    queue.offer(inTime, server)
    expect(queue.take(250)).toEqual({ next: inTime, late: [late] })
  })
})
