/**
 * Decides which objects are active: folds the records of the log into the
 * configuration of one process. State: the objects of its kinds and the offset up
 * to which the log is folded, in memory. A restarted process reads them again from
 * the log or from a peer.
 *
 * Inputs: records in offset order, or the state that a peer or a checkpoint
 * derived from them.
 *
 * Optimistic concurrency control: a change takes effect only if its base offset is
 * the offset of the object's active version; otherwise another change came first.
 * Versions only move to higher offsets: an older record, difference or checkpoint
 * changes nothing.
 *
 * Every process folds the same records by the same rule, so all hold the same
 * objects at the same offset without a coordinator, and a record that was appended
 * twice takes effect once.
 *
 * Log event: `record` (offset, outcome), by `fold-page`.
 */
import type { ObjectValues } from './objects.js'
import type { ChangeRecord, CheckpointRecord, ConfigurationRecord, VersionedObject } from './record.js'
import { ObjectKind, objectSchemas } from './objects.js'
import { configurationRecordSchema, NO_OFFSET, RecordKind } from './record.js'

/** Outcome of folding a record. */
export enum FoldOutcome {
  /** The change is active. */
  Accepted = 'accepted',
  /** Another change had replaced the version at the record's base offset. */
  Conflict = 'conflict',
  /** The offset was already folded. */
  Repeated = 'repeated',
  /** A checkpoint, which contains no change. */
  Checkpoint = 'checkpoint',
  /** Not a valid record of this stream; skipped by every process. */
  Malformed = 'malformed',
}

/** Objects above an offset, sent from one process to another. */
export interface ConfigurationDifference {
  /** Offset of the sender's configuration. */
  offset: number
  /** Objects whose offset is above the receiver's. */
  objects: VersionedObject[]
}

/** An object with a valid value, and the offset of that version. */
export interface UsableObject<Value> {
  name: string
  offset: number
  value: Value
}

interface StoredObject extends VersionedObject {
  /** The validated value; undefined if the object is deleted or its value is invalid. */
  validValue: unknown
}

/** Called with the new offset after each change of the offset. */
export type ConfigurationListener = (offset: number) => void

/** The configuration of one process. */
export class Configuration {
  private readonly objects = new Map<ObjectKind, Map<string, StoredObject>>()
  private readonly listeners = new Set<ConfigurationListener>()
  private currentOffset = NO_OFFSET

  /**
   * @param kinds Kinds of objects to store; others are folded without being stored.
   */
  constructor(private readonly kinds: readonly ObjectKind[] = Object.values(ObjectKind)) {
    for (const kind of Object.values(ObjectKind))
      this.objects.set(kind, new Map())
  }

  /** Highest folded offset; `NO_OFFSET` before the first record. */
  get offset(): number {
    return this.currentOffset
  }

  /** Registers a listener; returns a function that removes it. */
  subscribe(listener: ConfigurationListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Returns an object; undefined if it does not exist or its value is invalid. */
  get<Kind extends ObjectKind>(kind: Kind, name: string): UsableObject<ObjectValues[Kind]> | undefined {
    const stored = this.objects.get(kind)?.get(name)
    if (!stored || stored.validValue === undefined)
      return undefined
    return { name, offset: stored.offset, value: stored.validValue as ObjectValues[Kind] }
  }

  /** Lists the objects of a kind that have a valid value. */
  list<Kind extends ObjectKind>(kind: Kind): UsableObject<ObjectValues[Kind]>[] {
    const objects: UsableObject<ObjectValues[Kind]>[] = []
    for (const stored of this.objects.get(kind)!.values()) {
      if (stored.validValue !== undefined)
        objects.push({ name: stored.name, offset: stored.offset, value: stored.validValue as ObjectValues[Kind] })
    }
    return objects
  }

  /** Offset of an object's newest version, including deletions; `NO_OFFSET` if it never existed. */
  baseOffset(kind: ObjectKind, name: string): number {
    return this.objects.get(kind)?.get(name)?.offset ?? NO_OFFSET
  }

  /** Folds the raw log record at an offset. */
  fold(offset: number, raw: unknown): FoldOutcome {
    if (offset <= this.currentOffset)
      return FoldOutcome.Repeated
    const outcome = this.foldNext(offset, raw)
    this.advance(offset)
    return outcome
  }

  /** Applies a checkpoint unless this configuration is already at or past its offset. */
  applyCheckpoint(checkpoint: CheckpointRecord): void {
    this.apply({ offset: checkpoint.upTo, objects: checkpoint.objects })
  }

  /** Applies a difference from a peer unless this configuration is already at or past its offset. */
  apply(difference: ConfigurationDifference): void {
    if (difference.offset <= this.currentOffset)
      return
    for (const object of difference.objects)
      this.store(object)
    this.advance(difference.offset)
  }

  /** Returns the objects of the given kinds above an offset. */
  differenceSince(offset: number, kinds: readonly ObjectKind[]): ConfigurationDifference {
    const objects: VersionedObject[] = []
    for (const kind of kinds) {
      for (const stored of this.objects.get(kind)!.values()) {
        if (stored.offset > offset)
          objects.push({ kind, name: stored.name, offset: stored.offset, value: stored.value })
      }
    }
    return { offset: this.currentOffset, objects }
  }

  /** Creates a checkpoint of the complete configuration. */
  checkpoint(): CheckpointRecord {
    const { objects } = this.differenceSince(NO_OFFSET, Object.values(ObjectKind))
    return { record: RecordKind.Checkpoint, upTo: this.currentOffset, objects }
  }

  private foldNext(offset: number, raw: unknown): FoldOutcome {
    const parsed = parseRecord(raw)
    if (!parsed)
      return FoldOutcome.Malformed
    if (parsed.record === RecordKind.Checkpoint)
      return FoldOutcome.Checkpoint
    return this.foldChange(offset, parsed)
  }

  private foldChange(offset: number, change: ChangeRecord): FoldOutcome {
    // A duplicate record always conflicts here: its first copy moved the object past the base.
    if (change.base !== this.baseOffset(change.kind, change.name))
      return FoldOutcome.Conflict
    this.store({ kind: change.kind, name: change.name, offset, value: change.value ?? null })
    return FoldOutcome.Accepted
  }

  private store(object: VersionedObject): void {
    if (!this.kinds.includes(object.kind))
      return
    const objects = this.objects.get(object.kind)!
    const current = objects.get(object.name)
    if (current && current.offset >= object.offset)
      return
    const validValue = object.value === null ? undefined : objectSchemas[object.kind].safeParse(object.value).data
    objects.set(object.name, { ...object, validValue })
  }

  private advance(offset: number): void {
    this.currentOffset = offset
    for (const listener of this.listeners)
      listener(offset)
  }
}

/** Parses a raw log record; undefined if it is not a valid configuration record. */
export function parseRecord(raw: unknown): ConfigurationRecord | undefined {
  return configurationRecordSchema.safeParse(raw).data
}
