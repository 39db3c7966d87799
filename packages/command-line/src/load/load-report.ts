/**
 * The report of a load run, which `eidermast load` prints, and the tally that
 * aggregates results into it. A tally exists for the duration of one run.
 */
import type { Histogram } from 'hdr-histogram-js'
import { build } from 'hdr-histogram-js'

/** Outcome of a request as seen by its caller. */
export enum LoadOutcome {
  /** Answered within its deadline. */
  Attained = 'attained',
  /** Answered after its deadline. */
  Late = 'late',
  /** The entry returned an error. */
  Refused = 'refused',
  /** Status 200 without an output. */
  Wrong = 'wrong',
  /** No answer, or an answer that is not valid JSON; the reason is logged under `eidermast:load`. */
  Lost = 'lost',
}

/** Statistics for one group of requests. */
export interface GroupReport {
  group: string
  sent: number
  attained: number
  /** Ratio of attained to sent; 1 if nothing was sent. */
  attainment: number
  late: number
  refused: number
  wrong: number
  lost: number
  /** Latency of complete answers in milliseconds, measured from the planned send time. */
  p50: number
  p95: number
  p99: number
}

/** Statistics for a load run. */
export interface LoadReport {
  seconds: number
  ratePerSecond: number
  /** Attained requests per second. */
  goodputPerSecond: number
  overall: GroupReport
  groups: GroupReport[]
  refusals: Record<string, number>
  /** Latency of refusals in milliseconds, measured from the planned send time. */
  refusalP99: number
  /** Cost of answered requests by stage, in the unit that operators use in templates. */
  costByStage: Record<string, number>
}

/** Cost of one stage of a request. */
export interface StageCost {
  stage: string
  /** In the unit that operators use in templates. */
  cost: number
}

/** Result of a finished request. */
export interface LoadResult {
  name: string
  account: string
  priority: string
  outcome: LoadOutcome
  /** Latency, measured from the planned send time. */
  milliseconds: number
  errorKind?: string
  costs: StageCost[]
}

/** Upper bound of the latency histograms; far above any deadline. */
const MAX_LATENCY_MS = 600_000

/** A precision of 0.1%, which is finer than any printed value. */
const SIGNIFICANT_DIGITS = 3

function createHistogram(): Histogram {
  return build({ highestTrackableValue: MAX_LATENCY_MS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
}

function recordLatency(histogram: Histogram, milliseconds: number): void {
  histogram.recordValue(Math.max(1, Math.round(milliseconds)))
}

/** Aggregates the results of one group. */
class GroupTally {
  private readonly outcomes = new Map<LoadOutcome, number>()
  private readonly latencies = createHistogram()
  private sent = 0

  constructor(private readonly group: string) {}

  add(result: LoadResult): void {
    this.sent++
    this.outcomes.set(result.outcome, this.count(result.outcome) + 1)
    if (result.outcome === LoadOutcome.Attained || result.outcome === LoadOutcome.Late)
      recordLatency(this.latencies, result.milliseconds)
  }

  report(): GroupReport {
    const attained = this.count(LoadOutcome.Attained)
    return {
      group: this.group,
      sent: this.sent,
      attained,
      attainment: this.sent === 0 ? 1 : attained / this.sent,
      late: this.count(LoadOutcome.Late),
      refused: this.count(LoadOutcome.Refused),
      wrong: this.count(LoadOutcome.Wrong),
      lost: this.count(LoadOutcome.Lost),
      p50: this.latencies.getValueAtPercentile(50),
      p95: this.latencies.getValueAtPercentile(95),
      p99: this.latencies.getValueAtPercentile(99),
    }
  }

  private count(outcome: LoadOutcome): number {
    return this.outcomes.get(outcome) ?? 0
  }
}

/** Aggregates results into a report. */
export class LoadTally {
  private readonly overall = new GroupTally('all')
  private readonly groups = new Map<string, GroupTally>()
  private readonly refusals: Record<string, number> = {}
  private readonly refusalLatencies = createHistogram()
  private readonly costs: Record<string, number> = {}
  private attained = 0

  /** Number of results recorded so far. */
  count = 0

  add(result: LoadResult): void {
    this.count++
    this.overall.add(result)
    this.getOrCreateGroup(`kind ${result.name}`).add(result)
    this.getOrCreateGroup(`account ${result.account}`).add(result)
    this.getOrCreateGroup(`priority ${result.priority}`).add(result)
    if (result.outcome === LoadOutcome.Attained)
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

  private getOrCreateGroup(name: string): GroupTally {
    const existing = this.groups.get(name)
    if (existing)
      return existing
    const created = new GroupTally(name)
    this.groups.set(name, created)
    return created
  }
}
