/**
 * Records of the claim stream in the platform's log. The format is persistent:
 * records written by earlier releases must stay readable.
 */
import * as z from 'zod'

/** Name of the log stream that contains claims. */
export const CLAIM_STREAM = 'claims'

/** Kinds of records in the claim stream. */
export enum ClaimRecordKind {
  Claim = 'claim',
  Release = 'release',
}

/** Schema of a record of the claim stream. */
export const claimRecordSchema = z.object({
  record: z.enum(ClaimRecordKind),
  /** Identity of the claim; in a release, the claim that is released. */
  claimId: z.uuid(),
  account: z.string(),
  requestId: z.uuid(),
  /** Process incarnation of the entry. */
  incarnation: z.uuid(),
  /** Peer address of the entry as `host:port`. */
  address: z.string(),
})

/** A record of the claim stream. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>

/** The claim that authorizes its holder to run a request. */
export interface Claim {
  claimId: string
  account: string
  requestId: string
  incarnation: string
  address: string
  /** Offset of the claim in the stream. */
  offset: number
}
