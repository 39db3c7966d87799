/**
 * Rendezvous hashing: every process that knows the same candidates puts them
 * in the same order for a key, and a candidate's coming or going moves no key
 * between others.
 */

const FNV_OFFSET = 2166136261
const FNV_PRIME = 16777619

/** 32-bit FNV-1a hash with a final mix, so that near keys land far apart. */
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

/** Candidates in the order of preference for a key. */
export function rankByRendezvous<Candidate>(key: string, candidates: readonly Candidate[], nameOf: (candidate: Candidate) => string): Candidate[] {
  return candidates
    .map(candidate => ({ candidate, name: nameOf(candidate), weight: hashText(`${key}\n${nameOf(candidate)}`) }))
    .sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
    .map(entry => entry.candidate)
}
