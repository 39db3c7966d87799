/**
 * Decides in which order the waiting requests of one service are sent.
 *
 * Load: more requests than the service can answer, of accounts that differ many
 * times in what they ask for.
 *
 * Inputs: priority of each waiting request, its account, whether it was refused
 * before, when it arrived (ms) and its target (ms); which accounts were served.
 * Rule: more urgent priorities first; then the account that has had the least
 * (start-time fair queueing: one request costs one unit of the account's time,
 * and an account that was away gets no credit for it); within an account the
 * earliest target. The target of a request that returned counts twice, that of
 * one that was sent again sooner than told three times.
 * Why: in order of arrival, an account that sends 20 times as much gets 20 times
 * as much. If requests that returned went before new ones, as many would be
 * refused again while overload lasts, and most answers would be late: they have
 * used up their target, while new ones can still be in time. With a later target
 * instead of a lower rank, they wait for a limited time.
 * Log event: `admission` (`position`).
 *
 * State: the waiting requests and one number for each account that was served
 * recently, in memory.
 */
import type { RoutedRequest } from '../routed-request.js'
import { ArrivalKind } from '../returns/refusal-memory.js'

/** How often the target counts. */
const TARGET_COUNTS: Record<ArrivalKind, number> = {
  [ArrivalKind.New]: 1,
  [ArrivalKind.Returned]: 2,
  [ArrivalKind.Repeated]: 3,
}

/** When the target of a request ends for the order, on the monotonic clock in milliseconds. */
export function decideTargetAt({ arrivedAt, route }: Pick<RoutedRequest, 'arrivedAt' | 'route'>, kind: ArrivalKind): number {
  return arrivedAt + route.targetLatencyMs * TARGET_COUNTS[kind]
}

/** What the order depends on. */
export interface QueuedRequest {
  /** 0 is the most urgent. */
  priority: number
  account: string | undefined
  /** When its target ends for the order, on the monotonic clock in milliseconds, see `decideTargetAt`. */
  targetAt: number
}

/** Waiting requests of one service. */
export class AdmissionQueue<Entry extends QueuedRequest> {
  /** Each account's in their order; accounts without waiting requests are absent. */
  private readonly byAccount = new Map<string | undefined, Entry[]>()
  /** When each account may be served again, in units of one request; absent where that has passed. */
  private readonly nextStart = new Map<string | undefined, number>()
  /** Start of the request that was sent last, in the same units. */
  private virtualTime = 0

  get size(): number {
    return [...this.byAccount.values()].reduce((sum, entries) => sum + entries.length, 0)
  }

  add(entry: Entry): void {
    const entries = this.byAccount.get(entry.account) ?? []
    const index = entries.findIndex(other => compareWithinAccount(entry, other) < 0)
    entries.splice(index < 0 ? entries.length : index, 0, entry)
    this.byAccount.set(entry.account, entries)
  }

  /** Removes an entry; returns whether it was there. */
  remove(entry: Entry): boolean {
    const entries = this.byAccount.get(entry.account)
    const index = entries?.indexOf(entry) ?? -1
    if (!entries || index < 0)
      return false
    entries.splice(index, 1)
    if (entries.length === 0)
      this.byAccount.delete(entry.account)
    return true
  }

  /** Counts a request that is sent, whether it has waited or not. */
  recordSent(account: string | undefined): void {
    this.virtualTime = this.startOf(account)
    this.nextStart.set(account, this.virtualTime + 1)
    for (const [name, start] of this.nextStart) {
      if (start <= this.virtualTime)
        this.nextStart.delete(name)
    }
  }

  /** All waiting requests in the order in which they would be sent. */
  inOrder(): Entry[] {
    const accounts = [...this.byAccount].map(([account, entries]) => ({ entries, next: 0, start: this.startOf(account) }))
    const ordered: Entry[] = []
    for (let left = this.size; left > 0; left--) {
      const waiting = accounts.filter(({ entries, next }) => next < entries.length)
      const first = waiting.reduce((best, candidate) => goesBefore(candidate, best) ? candidate : best)
      ordered.push(first.entries[first.next])
      first.next++
      first.start++
    }
    return ordered
  }

  private startOf(account: string | undefined): number {
    return Math.max(this.virtualTime, this.nextStart.get(account) ?? 0)
  }
}

/** Waiting requests of an account, the next of them, and the account's start. */
interface AccountTurn<Entry extends QueuedRequest> {
  entries: readonly Entry[]
  next: number
  start: number
}

function goesBefore<Entry extends QueuedRequest>(left: AccountTurn<Entry>, right: AccountTurn<Entry>): boolean {
  const [leftEntry, rightEntry] = [left.entries[left.next], right.entries[right.next]]
  const difference = leftEntry.priority - rightEntry.priority || left.start - right.start
  return difference < 0 || (difference === 0 && compareWithinAccount(leftEntry, rightEntry) < 0)
}

/** Negative if the first one goes before the second one of the same account. */
function compareWithinAccount(left: QueuedRequest, right: QueuedRequest): number {
  return left.priority - right.priority || left.targetAt - right.targetAt
}
