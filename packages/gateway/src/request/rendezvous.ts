/**
 * Rendezvous hashing: every process that knows the same candidates ranks them in
 * the same order for a key, and a candidate that joins or leaves does not move
 * keys between the others. Stateless.
 */

/** Number of distinct hash values. */
export const HASH_RANGE = 2 ** 32

/** Offset basis of 32-bit FNV-1a, a constant of the algorithm. */
const FNV_OFFSET = 2166136261
/** Prime of 32-bit FNV-1a, a constant of the algorithm. */
const FNV_PRIME = 16777619

/** 32-bit FNV-1a with the finalizer of MurmurHash3, so that similar keys get unrelated hashes. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index++)
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  hash ^= hash >>> 16
  hash = Math.imul(hash, 0x85EBCA6B)
  hash ^= hash >>> 13
  hash = Math.imul(hash, 0xC2B2AE35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** Candidates in order of preference for a key. */
export function rankByRendezvous<Candidate>(
  key: string,
  candidates: readonly Candidate[],
  nameOf: (candidate: Candidate) => string,
): Candidate[] {
  return candidates
    .map(candidate => ({ candidate, name: nameOf(candidate), weight: hashText(`${key}\n${nameOf(candidate)}`) }))
    .sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
    .map(entry => entry.candidate)
}
