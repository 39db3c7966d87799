/**
 * Revisions of the platform's list of backend servers. The store that holds the
 * list may be restored from an older snapshot: its offsets then go back and are
 * reused, and its era is incremented. A revision combines era and offset, so that
 * the higher of two revisions is always the newer one.
 */

/** Offsets per era; the store would need 49 days at 1,000 changes per second to use them up. With up to 2^21 eras, a revision is an exact integer. */
const OFFSETS_PER_ERA = 2 ** 32

/** A position in a topic of the store. */
export interface TopicPosition {
  /** Incremented whenever the store is restored from an older snapshot; 0 if the store reports none. */
  era: number
  offset: number
}

/** The revision of a position. */
export function revisionAt({ era, offset }: TopicPosition): number {
  return era * OFFSETS_PER_ERA + offset
}

/** The position of a revision. */
export function positionOf(revision: number): TopicPosition {
  return { era: Math.floor(revision / OFFSETS_PER_ERA), offset: revision % OFFSETS_PER_ERA }
}
