/**
 * Decides since when a client has waited for its request to be read.
 *
 * Inputs: whether the request was read in the iteration of the event loop after
 * its connection was accepted; since when the oldest connection of this process to
 * its own listener waits that was not accepted by then (ms on the monotonic clock);
 * whether the event loop was busy throughout the last interval (ms).
 * Rule: such a request has waited since that own connection was established,
 * because the listener's queue is in order; without one, and for all other
 * requests, since now. While the event loop is busy, an own connection is opened
 * every PROBE_INTERVAL_MS, and closed once it is accepted. Those that the kernel or
 * the server keeps out of the queue count as little as none. The process reads late
 * from the first connection that waited for MIN_LATE_WAIT_MS until one that did not,
 * or until its event loop is no longer busy.
 * Why: a process that gets more work than it has processor time for accepts
 * connections late. Deadlines that count from the reading of a request let it work
 * for clients that no longer wait, so that all others wait longer. The kernel does
 * not tell since when a connection waits. What is counted is never more than the
 * wait of the connection, whoever connects. A request that its client sends some
 * time after connecting may count from before it was sent.
 * Log event: `listener-late` (`waitMs`), by the owner of the server; metric of a
 * gateway: `eidermast_gateway_listener_wait_seconds`.
 *
 * Owns the own connections, and the arrival of connections until their first
 * request can have been read. All of it is lost with the process.
 */
import type { AddressInfo, Server, Socket } from 'node:net'
import { connect } from 'node:net'
import { performance } from 'node:perf_hooks'

/** Limits by how much a wait is counted too short. */
const PROBE_INTERVAL_MS = 50
/** Part of an interval for which the event loop had work, from which connections may wait. */
const BUSY_UTILIZATION = 0.9
/** Own connections that wait at a time. With the interval, they measure waits of 5 s; longer ones count as that. */
const MAX_PROBES = 100
/** Clients notice such a wait: it is a good part of the time within which they expect a first byte. */
const REPORTED_WAIT_MS = 250
/** Connections that waited for less were accepted in time; more than an error of the measurement. */
const MIN_LATE_WAIT_MS = 100
/** Minimum interval between two reports. */
const REPORT_INTERVAL_MS = 1000

/** How late a request was read, for lack of processor time. Milliseconds. */
export interface ReadLateness {
  /** From its arrival to its reading. */
  waitedMs: number
  /** For how long connections have waited to be accepted without a break. */
  lateForMs: number
}

/** An own connection that was not accepted yet. */
interface Probe {
  socket: Socket
  /** On the monotonic clock in milliseconds; Infinity until it is established. */
  establishedAt: number
}

/** Measures how long connections wait to be accepted by a server, for as long as that is listening. */
export class ListenerQueue {
  /** In the order of their opening. */
  private readonly probes = new Set<Probe>()
  private readonly arrivals = new WeakMap<Socket, number>()
  private utilization = performance.eventLoopUtilization()
  private timer: NodeJS.Timeout | undefined
  private reportedAt = Number.NEGATIVE_INFINITY
  /** Since when no connection was accepted in time, on the monotonic clock in milliseconds; undefined while they are. */
  private lateSince: number | undefined

  /** `reportWait` gets the wait of a connection in milliseconds, where it is long, at most once a second. */
  constructor(private readonly server: Server, private readonly reportWait: (waitMs: number) => void) {
    server.on('listening', () => this.start())
    server.on('connection', socket => this.handleConnection(socket))
    server.on('close', () => clearInterval(this.timer))
  }

  /** For how long connections that are accepted now have waited at least, in milliseconds. */
  get waitMs(): number {
    const now = performance.now()
    return now - this.latestArrival(now)
  }

  /** Since when the client of a request that is read now has waited at least, on the monotonic clock in milliseconds. */
  arrivalOf(socket: Socket): number {
    const arrivedAt = this.arrivals.get(socket)
    this.arrivals.delete(socket)
    return arrivedAt ?? performance.now()
  }

  /** How late a request that arrived at a time is, if it is read now; undefined while connections are accepted in time. */
  latenessOf(arrivedAt: number): ReadLateness | undefined {
    const now = performance.now()
    return this.lateSince === undefined ? undefined : { waitedMs: now - arrivedAt, lateForMs: now - this.lateSince }
  }

  private start(): void {
    this.timer = setInterval(() => this.probeIfBusy(), PROBE_INTERVAL_MS)
    this.timer.unref()
  }

  private latestArrival(now: number): number {
    const [oldest] = this.probes
    return Math.min(now, oldest?.establishedAt ?? now)
  }

  private handleConnection(socket: Socket): void {
    if (this.endProbe(socket))
      return
    const now = performance.now()
    const arrivedAt = this.latestArrival(now)
    this.recordWait(now - arrivedAt, now)
    if (arrivedAt === now)
      return
    this.reportIfLong(now - arrivedAt, now)
    this.arrivals.set(socket, arrivedAt)
    // What was sent by now is read in the next iteration of the event loop.
    setImmediate(() => setImmediate(() => this.arrivals.delete(socket)))
  }

  private recordWait(waitMs: number, now: number): void {
    if (waitMs < MIN_LATE_WAIT_MS)
      this.lateSince = undefined
    else
      this.lateSince ??= now
  }

  /**
   * Ends the own connection that an accepted socket belongs to, and those that were
   * opened before it, which are not in the queue; returns whether there is one.
   */
  private endProbe(accepted: Socket): boolean {
    const { remotePort, remoteAddress } = accepted
    const opened = [...this.probes]
    const index = opened.findIndex(({ socket }) => socket.localPort === remotePort && socket.localAddress === remoteAddress)
    if (index < 0)
      return false
    this.discard(opened.slice(0, index + 1))
    accepted.destroy()
    return true
  }

  private discard(probes: Iterable<Probe>): void {
    for (const probe of probes) {
      this.probes.delete(probe)
      probe.socket.destroy()
    }
  }

  private probeIfBusy(): void {
    const current = performance.eventLoopUtilization()
    const { utilization } = performance.eventLoopUtilization(current, this.utilization)
    this.utilization = current
    if (utilization < BUSY_UTILIZATION)
      this.handleIdleTime()
    else if (this.server.listening && this.probes.size < MAX_PROBES)
      this.openProbe(this.server.address() as AddressInfo)
  }

  /** An event loop that had nothing to do has accepted all that was in the queue. */
  private handleIdleTime(): void {
    this.lateSince = undefined
    this.discard(this.probes)
  }

  private openProbe({ address, port }: AddressInfo): void {
    const socket = connect({ host: address, port })
    const probe: Probe = { socket, establishedAt: Number.POSITIVE_INFINITY }
    this.probes.add(probe)
    socket.on('connect', () => {
      probe.establishedAt = performance.now()
    })
    // The listener is closed, or turns connections away. Without a measurement, requests count from their reading.
    socket.on('error', () => {})
    socket.on('close', () => this.probes.delete(probe))
    socket.unref()
  }

  private reportIfLong(waitMs: number, now: number): void {
    if (waitMs < REPORTED_WAIT_MS || now - this.reportedAt < REPORT_INTERVAL_MS)
      return
    this.reportedAt = now
    this.reportWait(waitMs)
  }
}
