/**
 * Wire format of reports about streams between gateways: which software version
 * began them. Releases without them answer the procedures with an error.
 */
import * as z from 'zod'

/** Bounds what a faulty peer can send; keys and versions are far shorter. */
const MAX_TEXT_LENGTH = 200
/** Streams in one report. */
export const MAX_REPORTED_STREAMS = 500

const textSchema = z.string().max(MAX_TEXT_LENGTH)

/** A stream that has begun. */
const streamSchema = z.object({
  /** See `streamKeyOf`. */
  key: textSchema,
  /** Empty if the backend server that began it names no version. */
  version: textSchema,
})

/** Streams that have begun, as one gateway reports them to another. */
export const streamReportSchema = z.array(streamSchema).max(MAX_REPORTED_STREAMS)

/** A stream that has begun, in a report. */
export type StreamMessage = z.infer<typeof streamSchema>

/** A question where a stream began. */
export const streamQuestionSchema = z.object({ key: textSchema, service: textSchema })

/** A question where a stream of a service began. */
export type StreamQuestion = z.infer<typeof streamQuestionSchema>

const versionSchema = z.object({
  /** Empty for backend servers whose version is not named. */
  version: z.string(),
  /** Milliseconds since it was first listed; absent if that was before the gateway started. */
  ageMs: z.number().optional(),
})

/** A software version that serves. */
export type VersionMessage = z.infer<typeof versionSchema>

/** What a gateway knows of a stream, and of the versions of its service. */
export const streamAnswerSchema = z.object({
  /** Whether the gateway has a record of the stream. */
  known: z.boolean(),
  /** Version that began it, empty if it is not named; absent if there is no record, or if records contradict each other. */
  version: z.string().optional(),
  /** Versions that serve, or did within the longest life of a stream. */
  versions: z.array(versionSchema),
  /** Whether the gateway knows that whole period. */
  complete: z.boolean(),
})

/** What a gateway knows of a stream. */
export type StreamAnswer = z.infer<typeof streamAnswerSchema>
