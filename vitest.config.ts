import { defineConfig } from 'vitest/config'

// Vitest reads its configuration from the default export.
export default defineConfig({
  test: {
    include: ['test/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    pool: 'forks',
    maxWorkers: 4,
  },
})
