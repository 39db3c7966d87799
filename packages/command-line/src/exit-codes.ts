/**
 * Exit codes of the command line, one for each thing that operators must tell
 * apart in scripts.
 */
import { PublishOutcome } from '@eidermast/daemon'

/** Exit codes. */
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

/** The exit code of each outcome of a publication. */
export const PUBLISH_EXIT_CODES: Readonly<Record<PublishOutcome, ExitCode>> = {
  [PublishOutcome.Accepted]: ExitCode.Accepted,
  [PublishOutcome.Conflict]: ExitCode.Conflict,
  [PublishOutcome.Unknown]: ExitCode.Unknown,
  [PublishOutcome.Unreachable]: ExitCode.Unreachable,
}

/** Help text that lists the exit codes. */
export const EXIT_CODE_HELP = `
Exit codes:
  0  done; a change is accepted
  1  the tool itself failed
  2  bad input; nothing was sent
  3  conflict: another change of the object came first
  4  unknown: the change may have been accepted
  5  unreachable; nothing was changed
  6  not found`
