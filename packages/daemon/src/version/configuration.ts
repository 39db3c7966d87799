/**
 * Decides which objects are in force: folds the records of the log into the
 * configuration of one process. Owns every object of its kinds and the offset
 * up to which the log is folded, for the life of the process; after a restart
 * it is read from the log, or from a peer, again.
 *
 * Inputs: records in the order of their offsets, or what a peer or a
 * checkpoint folded from them.
 * Rule: a change takes effect only if it names the offset of the object's
 * version that is in force; otherwise another change came first. Values only
 * ever move to higher offsets: applying an older record, difference or
 * checkpoint changes nothing.
 * Why: every process folds the same records by the same rule, so all hold the
 * same objects at the same offset, without a coordinator; a record that was
 * appended twice takes effect once.
 * Log event: `record` (offset, outcome), by `fold-page`.
 */
import type { ObjectValues } from './objects.js'
import type { ChangeRecord, CheckpointRecord, ConfigurationRecord, VersionedObject } from './record.js'
import { ObjectKind, objectSchemas } from './objects.js'
import { configurationRecordSchema, NO_OFFSET, RecordKind } from './record.js'

/** What folding did with a record. */
export enum FoldOutcome {
  /** The change is in force. */
  Accepted = 'accepted',
  /** The object had moved on from the record's base offset. */
  Conflict = 'conflict',
  /** The record was folded before, or is below the current offset. */
  Repeated = 'repeated',
  /** A checkpoint: no change of its own. */
  Checkpoint = 'checkpoint',
  /** Not a record of this stream; skipped everywhere alike. */
  Malformed = 'malformed',
}

/** Objects above an offset, as one process passes them to another. */
export interface ConfigurationDifference {
  /** Offset of the sender's configuration. */
  offset: number
  /** Objects whose offset is above the receiver's. */
  objects: VersionedObject[]
}

/** A usable object: its checked value and the offset that gave it. */
export interface UsableObject<Value> {
  name: string
  offset: number
  value: Value
}

interface StoredObject extends VersionedObject {
  /** The checked value; undefined where deleted or not usable. */
  checked: unknown
}

/** Called with the new offset after each advance. */
export type ConfigurationListener = (offset: number) => void

/** The configuration of one process. */
export class Configuration {
  private readonly objects = new Map<ObjectKind, Map<string, StoredObject>>()
  private readonly listeners = new Set<ConfigurationListener>()
  private currentOffset = NO_OFFSET

  /**
   * @param kinds Kinds of objects to hold; others are folded without being kept.
   */
  constructor(private readonly kinds: readonly ObjectKind[] = Object.values(ObjectKind)) {
    for (const kind of Object.values(ObjectKind))
      this.objects.set(kind, new Map())
  }

  /** Highest offset folded; `NO_OFFSET` before the first record. */
  get offset(): number {
    return this.currentOffset
  }

  /** Registers a listener for advances; returns its removal. */
  subscribe(listener: ConfigurationListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Returns an object that exists and has a usable value. */
  get<Kind extends ObjectKind>(kind: Kind, name: string): UsableObject<ObjectValues[Kind]> | undefined {
    const stored = this.objects.get(kind)?.get(name)
    if (!stored || stored.checked === undefined)
      return undefined
    return { name, offset: stored.offset, value: stored.checked as ObjectValues[Kind] }
  }

  /** Lists the usable objects of a kind. */
  list<Kind extends ObjectKind>(kind: Kind): UsableObject<ObjectValues[Kind]>[] {
    const usable: UsableObject<ObjectValues[Kind]>[] = []
    for (const stored of this.objects.get(kind)!.values()) {
      if (stored.checked !== undefined)
        usable.push({ name: stored.name, offset: stored.offset, value: stored.checked as ObjectValues[Kind] })
    }
    return usable
  }

  /** Offset of an object's newest version, deleted ones included. */
  baseOffset(kind: ObjectKind, name: string): number {
    return this.objects.get(kind)?.get(name)?.offset ?? NO_OFFSET
  }

  /** Folds the raw value that the log holds at an offset. */
  fold(offset: number, raw: unknown): FoldOutcome {
    if (offset <= this.currentOffset)
      return FoldOutcome.Repeated
    const outcome = this.foldNext(offset, raw)
    this.advance(offset)
    return outcome
  }

  /** Takes over a checkpoint unless this configuration is already past it. */
  adopt(checkpoint: CheckpointRecord): void {
    this.apply({ offset: checkpoint.upTo, objects: checkpoint.objects })
  }

  /** Applies a difference from a peer. */
  apply(difference: ConfigurationDifference): void {
    if (difference.offset <= this.currentOffset)
      return
    for (const object of difference.objects)
      this.store(object)
    this.advance(difference.offset)
  }

  /** Objects above an offset, of the given kinds. */
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

  /** Makes a checkpoint of the whole configuration. */
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
    // A repeated record always fails here: its first copy moved the object past the base.
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
    const checked = object.value === null ? undefined : objectSchemas[object.kind].safeParse(object.value).data
    objects.set(object.name, { ...object, checked })
  }

  private advance(offset: number): void {
    this.currentOffset = offset
    for (const listener of this.listeners)
      listener(offset)
  }
}

/** Parses a raw log value; undefined where it is not a configuration record. */
export function parseRecord(raw: unknown): ConfigurationRecord | undefined {
  return configurationRecordSchema.safeParse(raw).data
}
