/**
 * The page of measurements.
 */
import type { LoadReport } from '@eidermast/command-line'
import { Priority } from '@eidermast/daemon'

/** One load run of one variant in one situation. */
export interface MeasuredCell {
  situation: string
  variant: string
  report: LoadReport
  /** Wasted cost by all cost. */
  wastedShare: number
  /** Unrepeatable stage runs beyond the first. */
  doubled: number
}

/** Everything that one measurement gave. */
export interface Measurements {
  deployment: string
  /** Requests a second. */
  capacity: number
  seconds: number
  pairs: number
  cells: MeasuredCell[]
}

const HEADINGS = ['situation', 'variant', 'attainment', 'high priority', 'goodput/s', 'services p99 ms', 'refused p99 ms', 'p50 ms', 'p99 ms', 'wasted cost', 'lost', 'wrong', 'doubled']

/** Formats the page. */
export function formatMeasurements(measurements: Measurements): string {
  const { deployment, capacity, seconds, pairs, cells } = measurements
  const keys = new Set(cells.map(cell => `${cell.situation}\0${cell.variant}`))
  const rows = [...keys].map((key) => {
    const [situation, variant] = key.split('\0')
    return formatRow(situation, variant, cells.filter(cell => cell.situation === situation && cell.variant === variant))
  })
  return [
    '# Measurements',
    '',
    `Written by \`npm run measure -- --deployment ${deployment} --pairs ${pairs} --seconds ${seconds}\`, on one machine of 8 cores, every process and the load on it. Engines are set slow enough for them to be the limit; the capacity that callers got who send one request after another was ${capacity.toFixed(0)} requests a second. Each figure is the median of ${pairs} runs with the spread in brackets; rates are relative to that capacity. A fifth of the requests go to plain services.`,
    '',
    `| ${HEADINGS.join(' | ')} |`,
    `|${HEADINGS.map(() => '---').join('|')}|`,
    ...rows.map(row => `| ${row.join(' | ')} |`),
    '',
  ].join('\n')
}

function formatRow(situation: string, variant: string, cells: MeasuredCell[]): string[] {
  const spread = (read: (cell: MeasuredCell) => number, digits: number): string => formatSpread(cells.map(read), digits)
  const total = (read: (cell: MeasuredCell) => number): string => String(cells.reduce((sum, cell) => sum + read(cell), 0))
  return [
    situation,
    variant,
    spread(cell => cell.report.overall.attainment, 4),
    spread(cell => groupOf(cell, `priority ${Priority.High}`)?.attainment ?? 1, 4),
    spread(cell => cell.report.goodputPerSecond, 0),
    spread(cell => groupOf(cell, 'priority service')?.p99 ?? 0, 0),
    spread(cell => cell.report.refusalP99, 0),
    spread(cell => cell.report.overall.p50, 0),
    spread(cell => cell.report.overall.p99, 0),
    spread(cell => cell.wastedShare, 4),
    total(cell => cell.report.overall.lost),
    total(cell => cell.report.overall.wrong),
    total(cell => cell.doubled),
  ]
}

function groupOf(cell: MeasuredCell, group: string) {
  return cell.report.groups.find(candidate => candidate.group === group)
}

function formatSpread(values: number[], digits: number): string {
  const sorted = [...values].sort((left, right) => left - right)
  const median = sorted[Math.floor(sorted.length / 2)]
  if (sorted.length === 1)
    return median.toFixed(digits)
  return `${median.toFixed(digits)} (${sorted[0].toFixed(digits)} to ${sorted.at(-1)!.toFixed(digits)})`
}
