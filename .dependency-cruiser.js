/**
 * Which module may import which: inside a program imports run from process
 * to request to connection to version, programs do not import each other, and
 * no circle stands, types included. Checked by `npm run lint`.
 */

/** Floors of a program by life span, the longest life first. */
const FLOORS = ['process', 'request', 'connection', 'version']

/** Nothing on a floor imports from those above it. */
const floorRules = FLOORS.slice(1).map((floor, index) => ({
  name: `${floor}-imports-from-above`,
  severity: 'error',
  comment: `Name what ${floor}/ needs as an interface of its own; the floor above hands it in at the start.`,
  from: { path: `^packages/(daemon|gateway)/src/${floor}/` },
  to: { path: `^packages/$1/src/(${FLOORS.slice(0, index + 1).join('|')})/` },
}))

// dependency-cruiser reads its configuration from the default export.
export default {
  forbidden: [
    ...floorRules,
    {
      name: 'no-circle',
      severity: 'error',
      comment: 'Move what both sides need into a module of its own.',
      from: { path: '^(packages|platform)/.*src/' },
      to: { circular: true },
    },
    {
      name: 'common-stands-alone',
      severity: 'error',
      comment: 'packages/common is what the others share; it relies on none of them.',
      from: { path: '^packages/common/' },
      to: { path: '^(packages/(?!common/)|platform/)' },
    },
    {
      name: 'programs-stand-apart',
      severity: 'error',
      comment: 'What two programs need belongs to packages/common.',
      from: { path: '^packages/(gateway|daemon)/' },
      to: { path: '^(packages/(?!$1/|common/)|platform/)' },
    },
    {
      name: 'adapter-serves-the-gateway',
      severity: 'error',
      comment: 'platform/ translates for the gateway only, and only platform/ knows the platform.',
      from: { path: '^platform/' },
      to: { path: '^packages/(?!gateway/|common/)' },
    },
  ],
  options: {
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.base.json' },
    enhancedResolveOptions: { exportsFields: ['exports'], conditionNames: ['source', 'types', 'import'], extensions: ['.ts', '.js'] },
    doNotFollow: { path: 'node_modules/(?!@eidermast)' },
    exclude: { path: '/dist/' },
  },
}
