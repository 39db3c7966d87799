/**
 * The fair shares of client accounts in the services without stages, as this
 * gateway knows them, and the demand from which they are computed.
 */

import type { ArrivalKind } from '../returns/refusal-memory.js'

/** A request for a service, on behalf of a client account. */
export interface Demand {
  service: string
  /** Name of the client account; undefined on public routes. */
  account: string | undefined
  kind: ArrivalKind
}

/** How a request ended, as far as it concerns the shares. */
export enum DemandEnd {
  Served = 'served',
  /** Refused, by this gateway or by the backend servers, since there was no room. */
  NoRoom = 'no-room',
  /** Refused since its client account had used its share; says nothing about room. */
  OverShare = 'over-share',
  /** Any other end. */
  Other = 'other',
}

/** Shares of client accounts (setting `account-shares` in `[load]`). */
export interface AccountShares {
  /** Records that a request arrived. */
  recordArrival: (demand: Demand) => void
  /** Records how a request ended. */
  recordEnd: (demand: Demand, end: DemandEnd) => void
  /**
   * Fraction (0 to 1) of the account's requests of a kind that fit into its fair
   * share of the service; 1 unless the service is overloaded. Requests that
   * returned as told use the share first, all other kinds count as new (the default).
   */
  admittedShare: (service: string, account: string | undefined, kind?: ArrivalKind) => number
}

/** Limits no account (setting `account-shares = none`). */
export class UnlimitedShares implements AccountShares {
  recordArrival(): void {}

  recordEnd(): void {}

  admittedShare(): number {
    return 1
  }
}
