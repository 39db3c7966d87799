/**
 * Decides which backend servers an entry maintains links to.
 *
 * Inputs: the configured backend servers (as old as this entry's
 * configuration), the entry's name, and the setting `watch-limit` (backend
 * servers per service).
 * Rule: all backend servers of a service if there are at most `watch-limit`;
 * otherwise the `watch-limit` with the highest rendezvous hash of backend server
 * and entry.
 * Why rendezvous hashing: each entry selects a different subset without
 * coordination, so that every backend server is watched by some entries and
 * none by all, and adding or removing one changes a single link of an entry.
 * Log event: none of its own; the resulting links appear in `member`.
 */
import type { UsableObject } from '../../version/configuration.js'
import type { Backend } from '../../version/objects.js'
import { rendezvousHash } from '../../request/stages/choice.js'

/** Selects from the configured backend servers those that an entry maintains links to. */
export function selectWatchedBackends(backends: UsableObject<Backend>[], entryName: string, watchLimit: number): UsableObject<Backend>[] {
  const byService = new Map<string, UsableObject<Backend>[]>()
  for (const backend of backends) {
    const pool = byService.get(backend.value.service) ?? []
    pool.push(backend)
    byService.set(backend.value.service, pool)
  }
  return [...byService.values()].flatMap(pool => selectFromPool(pool, entryName, watchLimit))
}

function selectFromPool(pool: UsableObject<Backend>[], entryName: string, watchLimit: number): UsableObject<Backend>[] {
  if (pool.length <= watchLimit)
    return pool
  const score = (backend: UsableObject<Backend>): number => rendezvousHash(backend.name, entryName)
  return pool.sort((left, right) => score(right) - score(left)).slice(0, watchLimit)
}
