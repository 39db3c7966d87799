/**
 * Measures the slopes from which docs/CAPACITY.md computes the size to come,
 * and writes them to docs/SLOPES.md.
 */
import type { Slope } from './slopes.js'
import { writeFileSync } from 'node:fs'
import { measureClaims, measureConfiguration, measureLinks, measurePlacementUpdate } from './slopes.js'
import { measureAuthority, measureRequests } from './system-slopes.js'

const slopes: Slope[] = []
for (const measure of [measureConfiguration, measurePlacementUpdate, measureClaims, measureLinks, measureRequests, measureAuthority]) {
  const measured = await measure()
  for (const { subject, size, figure } of measured)
    console.log(`${subject}, ${size}: ${figure}`)
  slopes.push(...measured)
}

const rows = slopes.map(({ subject, size, figure }) => `| ${subject} | ${size} | ${figure} |`)
writeFileSync('docs/SLOPES.md', [
  '# Slopes',
  '',
  'Written by `npm run measure:slopes`, on one machine of 8 cores. [CAPACITY.md](CAPACITY.md) computes from these.',
  '',
  '| measured | at | figure |',
  '|---|---|---|',
  ...rows,
  '',
].join('\n'))
process.exit(0)
