/**
 * A load report as text.
 */
import type { GroupReport, LoadReport } from './load-report.js'
import { formatTable } from '../output.js'

const HEADINGS = ['group', 'sent', 'attained', 'attainment', 'late', 'refused', 'wrong', 'lost', 'p50 ms', 'p95 ms', 'p99 ms']

/** Formats a report as lines. */
export function formatReport(report: LoadReport): string[] {
  const groups = [report.overall, ...report.groups]
  const refusals = Object.entries(report.refusals).map(([kind, count]) => `${kind} ${count}`)
  const costs = Object.entries(report.costByStage).map(([stage, cost]) => `${stage} ${cost.toFixed(1)}`)
  return [
    `${report.ratePerSecond} requests a second for ${report.seconds} s; goodput ${report.goodputPerSecond.toFixed(1)} a second`,
    ...formatTable([HEADINGS, ...groups.map(formatGroup)]),
    `refusals: ${refusals.join(', ') || 'none'}; answered within ${report.refusalP99} ms at p99`,
    `cost by stage: ${costs.join(', ') || 'none'}`,
  ]
}

function formatGroup(group: GroupReport): string[] {
  return [
    group.group,
    String(group.sent),
    String(group.attained),
    group.attainment.toFixed(4),
    String(group.late),
    String(group.refused),
    String(group.wrong),
    String(group.lost),
    String(group.p50),
    String(group.p95),
    String(group.p99),
  ]
}
