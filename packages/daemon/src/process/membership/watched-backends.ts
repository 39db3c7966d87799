/**
 * Decides to which backend servers an entry keeps links.
 *
 * Inputs: the configured backend servers (as old as this entry's
 * configuration), the entry's name, the setting `watch-limit` (backend servers
 * of one service).
 * Rule: of each service, all while it has at most `watch-limit` backend
 * servers, otherwise the `watch-limit` with the highest hash of backend
 * server and entry.
 * Why a hash: each entry picks others, so that every backend server is watched
 * by some entries and none by all, without a message between them; and one
 * that comes or goes changes one link of an entry.
 * Log event: none of its own; the links made show as `member`.
 */
import type { UsableObject } from '../../version/configuration.js'
import type { Backend } from '../../version/objects.js'
import { rendezvousHash } from '../../request/stages/choice.js'

/** The backend servers that an entry keeps links to, of all that are configured. */
export function selectWatched(backends: UsableObject<Backend>[], entryName: string, watchLimit: number): UsableObject<Backend>[] {
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
  const rank = (backend: UsableObject<Backend>): number => rendezvousHash(backend.name, entryName)
  return pool.sort((left, right) => rank(right) - rank(left)).slice(0, watchLimit)
}
