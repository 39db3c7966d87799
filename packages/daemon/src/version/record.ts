/**
 * Records of the configuration stream: changes that operators publish, and
 * checkpoints that keep the configuration readable past the log's retention.
 */
import * as z from 'zod'
import { ObjectKind } from './objects.js'

/** Name of the log's stream that holds configuration. */
export const CONFIGURATION_STREAM = 'configuration'

/** Base offset of an object that does not exist yet, and of an empty configuration. */
export const NO_OFFSET = -1

/** Kinds of records on the configuration stream. */
export enum RecordKind {
  Change = 'change',
  Checkpoint = 'checkpoint',
}

/** One object with the offset of the record that gave it its value. */
export const versionedObjectSchema = z.object({
  kind: z.enum(ObjectKind),
  name: z.string().min(1),
  /** Offset of the record that gave the value. */
  offset: z.int().min(0),
  /** The value, or null once deleted. A deleted object keeps its offset. */
  value: z.unknown(),
})

/** An operator's change of one object. */
export const changeRecordSchema = z.object({
  record: z.literal(RecordKind.Change),
  /** Unique identity, so that a repeated append is recognized. */
  id: z.uuid(),
  kind: z.enum(ObjectKind),
  name: z.string().min(1),
  /** Offset of the object's version that the change was based on, or `NO_OFFSET`. */
  base: z.int().min(NO_OFFSET),
  value: z.unknown(),
  /** Who published the change. */
  author: z.string().default(''),
})

/** The folded configuration up to and including an offset. */
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
