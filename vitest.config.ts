import { configDefaults, defineConfig } from 'vitest/config'

const HOSTILE_CLIENTS = 'test/hostile-clients/**/*.test.ts'

// Vitest reads its configuration from the default export.
export default defineConfig({
  test: {
    testTimeout: 60_000,
    hookTimeout: 60_000,
    pool: 'forks',
    projects: [
      { extends: true, test: { name: 'all', include: ['test/**/*.test.ts'], exclude: [...configDefaults.exclude, HOSTILE_CLIENTS], maxWorkers: 4, sequence: { groupOrder: 0 } } },
      // These fill the memory and the descriptors of processes: they run after the others, one file at a time.
      { extends: true, test: { name: 'hostile-clients', include: [HOSTILE_CLIENTS], maxWorkers: 1, fileParallelism: false, sequence: { groupOrder: 1 } } },
    ],
  },
})
