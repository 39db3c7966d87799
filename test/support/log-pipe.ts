/**
 * A pipe as the standard output of a child process, with a reader that the test
 * controls. While the pipe is full, writes to it block.
 */
import { Buffer } from 'node:buffer'
import { execFileSync } from 'node:child_process'
import { closeSync, constants, mkdtempSync, openSync, readSync, rmSync, writeSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'

const CHUNK_BYTES = 4096
/** The largest capacity of a pipe that a process without privileges can have. */
const MAX_CAPACITY_BYTES = 1024 * 1024

/** A named pipe. */
export class LogPipe {
  /** Descriptor to write to, in non-blocking mode. A child process gets it in blocking mode. */
  readonly writeEnd: number
  private readonly directory = mkdtempSync(path.join(tmpdir(), 'eidermast-pipe-'))
  private readonly readEnd: number
  private text = ''

  constructor() {
    const file = path.join(this.directory, 'log')
    execFileSync('mkfifo', [file])
    this.readEnd = openSync(file, constants.O_RDWR | constants.O_NONBLOCK)
    this.writeEnd = openSync(file, constants.O_WRONLY | constants.O_NONBLOCK)
  }

  /** Fills the pipe with blank lines. */
  fill(): void {
    for (const chunk of [Buffer.alloc(CHUNK_BYTES, '\n'), Buffer.from('\n')]) {
      while (succeeds(() => writeSync(this.readEnd, chunk))) ;
    }
  }

  /**
   * Reads what is in the pipe and returns all that was read so far. One call to
   * the system, so that writers that wait for room cannot write meanwhile.
   */
  read(): string {
    const buffer = Buffer.alloc(MAX_CAPACITY_BYTES)
    succeeds(() => {
      this.text += buffer.toString('utf8', 0, readSync(this.readEnd, buffer))
    })
    return this.text
  }

  close(): void {
    closeSync(this.readEnd)
    closeSync(this.writeEnd)
    rmSync(this.directory, { recursive: true })
  }
}

/** Returns false if the pipe is full or empty, and throws other errors. */
function succeeds(operation: () => void): boolean {
  try {
    operation()
    return true
  }
  catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'EAGAIN')
      return false
    throw error
  }
}
