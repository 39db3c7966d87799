/**
 * Records of the configuration stream: changes published by operators, and
 * checkpoints that keep the configuration readable beyond the log's retention.
 */
import * as z from 'zod'
import { ObjectKind } from './objects.js'

/** Log stream that contains the configuration. */
export const CONFIGURATION_STREAM = 'configuration'

/** Base offset of an object that does not exist yet, and offset of an empty configuration. */
export const NO_OFFSET = -1

export enum RecordKind {
  Change = 'change',
  Checkpoint = 'checkpoint',
}

/** Version of an object. */
export const versionedObjectSchema = z.object({
  kind: z.enum(ObjectKind),
  name: z.string().min(1),
  /** Offset of the record that set the value. */
  offset: z.int().min(0),
  /** The value; null if the object is deleted. A deleted object keeps the offset of its deletion. */
  value: z.unknown(),
})

/** An operator's change of one object. */
export const changeRecordSchema = z.object({
  record: z.literal(RecordKind.Change),
  /** Unique id, by which the publisher finds its record on the log, even if it was appended twice. */
  id: z.uuid(),
  kind: z.enum(ObjectKind),
  name: z.string().min(1),
  /** Offset of the version that the change is based on; `NO_OFFSET` if the object did not exist. */
  base: z.int().min(NO_OFFSET),
  value: z.unknown(),
  /** Author of the change. */
  author: z.string().default(''),
})

/** The configuration folded up to and including an offset. */
export const checkpointRecordSchema = z.object({
  record: z.literal(RecordKind.Checkpoint),
  upTo: z.int().min(NO_OFFSET),
  objects: z.array(versionedObjectSchema),
})

export const configurationRecordSchema = z.discriminatedUnion('record', [changeRecordSchema, checkpointRecordSchema])

export type VersionedObject = z.infer<typeof versionedObjectSchema>
export type ChangeRecord = z.infer<typeof changeRecordSchema>
export type CheckpointRecord = z.infer<typeof checkpointRecordSchema>
export type ConfigurationRecord = z.infer<typeof configurationRecordSchema>
