/**
 * What the request's backend server needs to know of the final stages' results.
 */
import type { PreparedInputs } from '../../connection/peers/preparation.js'
import type { StageResult } from './stage-task.js'

/**
 * Handles and size of the results, and the failure domain that holds most of
 * their bytes; without results, the given one.
 */
export function describeInputs(results: readonly StageResult[], defaultDomain: string): PreparedInputs {
  const bytesByDomain = new Map<string, number>()
  for (const { holder, bytes } of results)
    bytesByDomain.set(holder.failureDomain, (bytesByDomain.get(holder.failureDomain) ?? 0) + bytes)
  const domains = [...bytesByDomain].sort(([, left], [, right]) => right - left)
  return {
    handles: results.map(result => result.handle),
    failureDomain: domains[0]?.[0] ?? defaultDomain,
    bytes: results.reduce((sum, result) => sum + result.bytes, 0),
  }
}
