/**
 * Writes log lines to a file descriptor. Writing never blocks: one write is in
 * progress at a time, and lines that exceed the buffer are counted and dropped.
 * Buffered lines are lost if the process dies; a process that ends by itself
 * flushes them first.
 */
import { write as writeFile } from 'node:fs'
import { wait } from './wait.js'

/** Receives formatted lines. */
export interface LineWriter {
  write: (line: string) => void
}

/**
 * Maximum time for an exiting process to write its last lines. Covers a reader
 * that is late by a second or two; one that hangs delays the exit by this much.
 */
export const MAX_LOG_FLUSH_MS = 2000
/**
 * Characters buffered during a write. Holds the lines of a burst, and limits the
 * memory used while the reader hangs.
 */
const MAX_BUFFER_LENGTH = 256 * 1024
/** Interval between attempts to write to a full pipe; limits the CPU time spent while its reader hangs. */
const FULL_PIPE_RETRY_MS = 20
/** Error code of a write to a full pipe that is in non-blocking mode. */
const FULL_PIPE_CODE = 'EAGAIN'
const LINE_BREAK = '\n'

/** Writes lines to a file descriptor without blocking; drops lines that exceed the buffer. */
export class DescriptorWriter implements LineWriter {
  private pending = ''
  private writing = false
  private dropped = 0
  /** Aborted when no write is in progress any more; undefined while nobody waits for that. */
  private idle: AbortController | undefined

  /**
   * @param descriptor A file, or a pipe in non-blocking mode. A write to a full pipe
   * in blocking mode would occupy a thread, and the process could not exit.
   * @param maxBufferLength Characters that are buffered during a write.
   */
  constructor(private readonly descriptor: number, private readonly maxBufferLength = MAX_BUFFER_LENGTH) {}

  write(line: string): void {
    if (this.pending.length + line.length > this.maxBufferLength) {
      this.dropped++
      return
    }
    this.pending += line + LINE_BREAK
    if (!this.writing)
      this.writePending()
  }

  /**
   * Writes the buffered lines and the number of dropped ones. Resolves when they
   * are written, when a write fails, or after the timeout, whichever is first.
   */
  async flush(timeoutMs: number): Promise<void> {
    if (!this.writing && (this.pending !== '' || this.dropped > 0))
      this.writePending()
    if (!this.writing)
      return
    this.idle ??= new AbortController()
    await wait(timeoutMs, this.idle.signal)
  }

  private writePending(): void {
    if (this.dropped > 0) {
      this.pending += JSON.stringify({ event: 'log-lines-dropped', count: this.dropped }) + LINE_BREAK
      this.dropped = 0
    }
    const chunk = this.pending
    this.pending = ''
    this.writing = true
    this.writeBytes(Buffer.from(chunk))
  }

  private writeBytes(bytes: Buffer): void {
    writeFile(this.descriptor, bytes, (error, written) => {
      if (error?.code === FULL_PIPE_CODE)
        return void setTimeout(() => this.writeBytes(bytes), FULL_PIPE_RETRY_MS).unref()
      if (!error && written < bytes.length)
        return this.writeBytes(bytes.subarray(written))
      this.writing = false
      if (error)
        this.dropped += countLines(bytes)
      else if (this.pending !== '' || this.dropped > 0)
        return this.writePending()
      // After a failure, which cannot be logged elsewhere, the next line triggers another write.
      this.idle?.abort()
      this.idle = undefined
    })
  }
}

function countLines(bytes: Buffer): number {
  return bytes.toString().split(LINE_BREAK).length - 1
}
