/**
 * Interface of the process to requests that the configuration in force denies.
 */

/** Finds out whether the configuration in force is the newest; implemented by the process. */
export interface ConfigurationCheck {
  /** Whether it is known to be, as far as changes must be in force by now. Reads it anew if needed, for a bounded time. */
  isUpToDate: () => Promise<boolean>
}
