/**
 * Records of the claim stream on the platform's log, and what they mean. Their
 * form is stored: records of earlier releases stay readable.
 */
import * as z from 'zod'

/** Name of the log's stream that holds claims. */
export const CLAIM_STREAM = 'claims'

/** Kinds of records on the claim stream. */
export enum ClaimRecordKind {
  Claim = 'claim',
  Release = 'release',
}

/** Schema of a record of the claim stream. */
export const claimRecordSchema = z.object({
  record: z.enum(ClaimRecordKind),
  /** Identity of one claim; a release names the claim it ends. */
  claimId: z.uuid(),
  account: z.string(),
  requestId: z.uuid(),
  /** The entry's process life. */
  incarnation: z.uuid(),
  /** The entry's address between processes, as `host:port`. */
  address: z.string(),
})

/** A record of the claim stream. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>

/** The claim that gives the authority to run a request, and who holds it. */
export interface Claim {
  claimId: string
  account: string
  requestId: string
  incarnation: string
  address: string
  /** Where the claim stands on the stream. */
  offset: number
}
