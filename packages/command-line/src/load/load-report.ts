/**
 * The figures of a load run: the form that `eidermast load` prints, and the
 * tally that counts results into it. The tally lives as long as its run.
 */
import type { Histogram } from 'hdr-histogram-js'
import { build } from 'hdr-histogram-js'

/** How a request ended for its caller. */
export enum LoadEnd {
  /** Answered within its deadline. */
  Attained = 'attained',
  /** Answered after its deadline. */
  Late = 'late',
  /** The entry answered with an error. */
  Refused = 'refused',
  /** An answer of status 200 without an output. */
  Wrong = 'wrong',
  /** No answer, or one that is no JSON; the reason is in the log `eidermast:load`. */
  Lost = 'lost',
}

/** Figures of one group of requests. */
export interface GroupReport {
  group: string
  sent: number
  attained: number
  /** Attained by sent; 1 where nothing was sent. */
  attainment: number
  late: number
  refused: number
  wrong: number
  lost: number
  /** Milliseconds from the planned arrival, of whole answers. */
  p50: number
  p95: number
  p99: number
}

/** Figures of a load run. */
export interface LoadReport {
  seconds: number
  ratePerSecond: number
  /** Attained requests a second. */
  goodputPerSecond: number
  overall: GroupReport
  groups: GroupReport[]
  refusals: Record<string, number>
  /** Milliseconds from the planned arrival, of refusals. */
  refusalP99: number
  /** Cost by stage of answered requests, in the operators' own unit. */
  costByStage: Record<string, number>
}

/** What one stage of a request cost. */
export interface StageCost {
  stage: string
  /** In the operators' own unit. */
  cost: number
}

/** One finished request. */
export interface LoadResult {
  name: string
  account: string
  priority: string
  end: LoadEnd
  /** Milliseconds from the planned arrival. */
  milliseconds: number
  errorKind?: string
  costs: StageCost[]
}

/** Milliseconds; the longest latency that a histogram tells apart. Far above any deadline, so never reached. */
const MAX_LATENCY_MS = 600_000

/** Latencies are kept to 0.1%, in whole milliseconds; finer than any figure printed. */
const SIGNIFICANT_DIGITS = 3

function createHistogram(): Histogram {
  return build({ highestTrackableValue: MAX_LATENCY_MS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
}

function recordLatency(histogram: Histogram, milliseconds: number): void {
  histogram.recordValue(Math.max(1, Math.round(milliseconds)))
}

/** Counts of one group. */
class GroupTally {
  private readonly ends = new Map<LoadEnd, number>()
  private readonly latencies = createHistogram()
  private sent = 0

  constructor(private readonly group: string) {}

  add(result: LoadResult): void {
    this.sent++
    this.ends.set(result.end, this.count(result.end) + 1)
    if (result.end === LoadEnd.Attained || result.end === LoadEnd.Late)
      recordLatency(this.latencies, result.milliseconds)
  }

  report(): GroupReport {
    const attained = this.count(LoadEnd.Attained)
    return {
      group: this.group,
      sent: this.sent,
      attained,
      attainment: this.sent === 0 ? 1 : attained / this.sent,
      late: this.count(LoadEnd.Late),
      refused: this.count(LoadEnd.Refused),
      wrong: this.count(LoadEnd.Wrong),
      lost: this.count(LoadEnd.Lost),
      p50: this.latencies.getValueAtPercentile(50),
      p95: this.latencies.getValueAtPercentile(95),
      p99: this.latencies.getValueAtPercentile(99),
    }
  }

  private count(end: LoadEnd): number {
    return this.ends.get(end) ?? 0
  }
}

/** Gathers results into a report. */
export class LoadTally {
  private readonly overall = new GroupTally('all')
  private readonly groups = new Map<string, GroupTally>()
  private readonly refusals: Record<string, number> = {}
  private readonly refusalLatencies = createHistogram()
  private readonly costs: Record<string, number> = {}
  private attained = 0

  /** Number of results so far. */
  count = 0

  add(result: LoadResult): void {
    this.count++
    this.overall.add(result)
    this.groupOf(`kind ${result.name}`).add(result)
    this.groupOf(`account ${result.account}`).add(result)
    this.groupOf(`priority ${result.priority}`).add(result)
    if (result.end === LoadEnd.Attained)
      this.attained++
    if (result.errorKind !== undefined) {
      this.refusals[result.errorKind] = (this.refusals[result.errorKind] ?? 0) + 1
      recordLatency(this.refusalLatencies, result.milliseconds)
    }
    for (const { stage, cost } of result.costs)
      this.costs[stage] = (this.costs[stage] ?? 0) + cost
  }

  report(seconds: number, ratePerSecond: number): LoadReport {
    return {
      seconds,
      ratePerSecond,
      goodputPerSecond: this.attained / seconds,
      overall: this.overall.report(),
      groups: this.reportGroups(),
      refusals: this.refusals,
      refusalP99: this.refusalLatencies.getValueAtPercentile(99),
      costByStage: this.costs,
    }
  }

  private reportGroups(): GroupReport[] {
    const reports = [...this.groups.values()].map(group => group.report())
    return reports.sort((left, right) => left.group.localeCompare(right.group))
  }

  private groupOf(name: string): GroupTally {
    const existing = this.groups.get(name)
    if (existing)
      return existing
    const created = new GroupTally(name)
    this.groups.set(name, created)
    return created
  }
}
