/**
 * Exit codes of the command line, their mapping from publication outcomes, and
 * the error class that carries an exit code. The numbers are a stable interface
 * for operators' scripts.
 */
import { PublishOutcome } from '@eidermast/daemon'

/** Exit codes, one for each result that scripts need to distinguish. */
export enum ExitCode {
  /** Success; a change was accepted and is in force. */
  Accepted = 0,
  /** Internal error. */
  Failed = 1,
  /** Arguments, settings or an object file are invalid; nothing was sent. */
  BadInput = 2,
  /** The object was changed concurrently; review the newer version before retrying. */
  Conflict = 3,
  /** The change may have been accepted; check `eidermast config history`. */
  Unknown = 4,
  /** No answer; nothing was changed. */
  Unreachable = 5,
  /** The requested object does not exist. */
  NotFound = 6,
}

const MEANINGS: Readonly<Record<ExitCode, string>> = {
  [ExitCode.Accepted]: 'success; a change was accepted',
  [ExitCode.Failed]: 'internal error of the tool',
  [ExitCode.BadInput]: 'bad input; nothing was sent',
  [ExitCode.Conflict]: 'conflict: the object was changed concurrently',
  [ExitCode.Unknown]: 'unknown: the change may have been accepted; see eidermast config history',
  [ExitCode.Unreachable]: 'unreachable; nothing was changed',
  [ExitCode.NotFound]: 'not found',
}

/** Exit code for each publication outcome. */
export const PUBLISH_EXIT_CODES: Readonly<Record<PublishOutcome, ExitCode>> = {
  [PublishOutcome.Accepted]: ExitCode.Accepted,
  [PublishOutcome.Conflict]: ExitCode.Conflict,
  [PublishOutcome.Unknown]: ExitCode.Unknown,
  [PublishOutcome.Unreachable]: ExitCode.Unreachable,
}

/** An error that terminates a command with an exit code; the message tells the user what to do. */
export class CommandFailure extends Error {
  constructor(readonly exitCode: ExitCode, message: string) {
    super(message)
  }
}

/** Returns the exit code for an error that a command threw. */
export function exitCodeOfError(error: unknown): ExitCode {
  return error instanceof CommandFailure ? error.exitCode : ExitCode.Failed
}

/** Maps the exit code of the argument parser: 0 is a request for help, anything else is a usage error. */
export function exitCodeOfParsing(parserCode: number): ExitCode {
  return parserCode === 0 ? ExitCode.Accepted : ExitCode.BadInput
}

/** Formats the list of exit codes for the help text. */
export function formatExitCodes(): string {
  const lines = Object.entries(MEANINGS).map(([code, meaning]) => `  ${code}  ${meaning}`)
  return ['Exit codes:', ...lines].join('\n')
}
