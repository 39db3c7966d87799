/**
 * The exit codes of the command line: what each one means, which outcome of a
 * publication has which, and the failure that carries one to the program's
 * end. Scripts of operators rely on the numbers.
 */
import { PublishOutcome } from '@eidermast/daemon'

/** Exit codes, one for each end that operators must tell apart in scripts. */
export enum ExitCode {
  /** Done; a change is accepted and in force. */
  Accepted = 0,
  /** The tool itself failed. */
  Failed = 1,
  /** Arguments, settings or an object file are faulty; nothing was sent. */
  BadInput = 2,
  /** Another change of the same object came first; look at it and decide again. */
  Conflict = 3,
  /** The change may have been accepted; look at `eidermast config history`. */
  Unknown = 4,
  /** Nobody answered; nothing was changed. */
  Unreachable = 5,
  /** What was asked for does not exist. */
  NotFound = 6,
}

const MEANINGS: Readonly<Record<ExitCode, string>> = {
  [ExitCode.Accepted]: 'done; a change is accepted',
  [ExitCode.Failed]: 'the tool itself failed',
  [ExitCode.BadInput]: 'bad input; nothing was sent',
  [ExitCode.Conflict]: 'conflict: another change of the object came first',
  [ExitCode.Unknown]: 'unknown: the change may have been accepted; see eidermast config history',
  [ExitCode.Unreachable]: 'unreachable; nothing was changed',
  [ExitCode.NotFound]: 'not found',
}

/** The exit code of each outcome of a publication. */
export const PUBLISH_EXIT_CODES: Readonly<Record<PublishOutcome, ExitCode>> = {
  [PublishOutcome.Accepted]: ExitCode.Accepted,
  [PublishOutcome.Conflict]: ExitCode.Conflict,
  [PublishOutcome.Unknown]: ExitCode.Unknown,
  [PublishOutcome.Unreachable]: ExitCode.Unreachable,
}

/** Ends a command with an exit code; the message says what to do. */
export class CommandFailure extends Error {
  constructor(readonly exitCode: ExitCode, message: string) {
    super(message)
  }
}

/** The exit code of a command that threw. */
export function exitCodeOfError(error: unknown): ExitCode {
  return error instanceof CommandFailure ? error.exitCode : ExitCode.Failed
}

/** The exit code of arguments that were parsed: those that only ask for help are good, all others faulty. */
export function exitCodeOfParsing(parserCode: number): ExitCode {
  return parserCode === 0 ? ExitCode.Accepted : ExitCode.BadInput
}

/** Help text that lists the exit codes. */
export function formatExitCodes(): string {
  const lines = Object.entries(MEANINGS).map(([code, meaning]) => `  ${code}  ${meaning}`)
  return ['Exit codes:', ...lines].join('\n')
}
