/**
 * Places in the platform's list of backend servers. The store that keeps it may
 * come back from an older copy: its offsets go back then and are given out
 * again, and its era rises. A revision holds both, so that of two revisions the
 * higher one is the newer, whatever the offsets are.
 */

/** Offsets of one era: the store would need 49 days at 1,000 changes a second. With 2^21 eras a revision is exact. */
const OFFSETS_PER_ERA = 2 ** 32

/** A place in a topic of the store. */
export interface TopicPosition {
  /** Rises by one each time that the store comes back from an older copy; 0 where it tells none. */
  era: number
  offset: number
}

/** The revision of a place. */
export function revisionAt({ era, offset }: TopicPosition): number {
  return era * OFFSETS_PER_ERA + offset
}

/** The place of a revision. */
export function positionOf(revision: number): TopicPosition {
  return { era: Math.floor(revision / OFFSETS_PER_ERA), offset: revision % OFFSETS_PER_ERA }
}
