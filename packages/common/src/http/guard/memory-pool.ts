/**
 * Account of the memory that the connections of a process take beyond what each
 * of them may take anyway. One for all servers of a process; lost with it.
 */

/** Memory that is shared by the connections of a process. */
export class MemoryPool {
  private taken = 0

  /** `limitBytes` may be exceeded by what is taken at once. */
  constructor(readonly limitBytes: number) {}

  get takenBytes(): number {
    return this.taken
  }

  get isFull(): boolean {
    return this.taken >= this.limitBytes
  }

  take(bytes: number): void {
    this.taken += bytes
  }

  release(bytes: number): void {
    this.taken -= bytes
  }
}
