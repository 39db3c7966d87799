import antfu from '@antfu/eslint-config'

// ESLint reads its configuration from the default export.
export default antfu({
  type: 'lib',
  typescript: true,
  markdown: false,
  ignores: ['**/dist/**', '**/*.md', 'journal/**', 'target/**'],
}, {
  rules: {
    'node/prefer-global/process': 'off',
    'node/prefer-global/buffer': 'off',
    'ts/explicit-function-return-type': 'off',
    'no-console': 'off',
    'antfu/no-top-level-await': 'off',
    'unicorn/throw-new-error': 'off',
    'test/prefer-lowercase-title': 'off',
    'test/consistent-test-it': ['error', { fn: 'test', withinDescribe: 'test' }],
    'no-restricted-syntax': ['error', 'TSEnumDeclaration[const=true]', 'TSExportAssignment', {
      selector: 'MemberExpression[object.name="AbortSignal"][property.name="any"]',
      message: 'AbortSignal.any refers to its sources weakly, so that a timeout may be garbage collected: use joinSignals or createTimeoutSignal.',
    }],
    'ts/no-use-before-define': ['error', { functions: false, classes: false, variables: false }],
  },
})
