import tseslint from 'typescript-eslint';

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      '**/node_modules/**',
      '**/gen/**',
      'run/**',
      'target/**',
      'journal/**',
      'scripts/**',
    ],
  },
  ...tseslint.configs.strictTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        projectService: { allowDefaultProject: ['eslint.config.js'] },
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/no-unused-vars': ['error', { varsIgnorePattern: '^_', argsIgnorePattern: '^_' }],
      'func-style': ['error', 'declaration', { allowArrowFunctions: false }],
      'no-restricted-syntax': [
        'error',
        {
          selector:
            'FunctionExpression:not(MethodDefinition > FunctionExpression):not(Property > FunctionExpression)',
          message: 'Declare functions; only methods and callbacks passed in place stand apart.',
        },
        {
          selector: 'PropertyDefinition[accessibility="private"]',
          message: 'Private fields are written with #.',
        },
      ],
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/no-confusing-void-expression': [
        'error',
        { ignoreArrowShorthand: true, ignoreVoidOperator: true, ignoreVoidReturningFunctions: true },
      ],
      '@typescript-eslint/no-misused-promises': ['error', { checksVoidReturn: { arguments: false } }],
      '@typescript-eslint/unbound-method': 'off',
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', name: ['test', 'describe', 'it'], package: 'node:test' },
          ],
        },
      ],
    },
  },
  { files: ['eslint.config.js'], ...tseslint.configs.disableTypeChecked },
  {
    files: [
      'packages/{common,messages,failure-detector,storage,process-group,configuration,placement,gateway,cluster-node,workloads}/src/**/*.ts',
    ],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-globals': [
        'error',
        { name: 'Date', message: 'Wall clocks jump: the core is given a monotonic Clock.' },
        { name: 'performance', message: 'The core is given its Clock.' },
        { name: 'setTimeout', message: 'The core is driven by beats.' },
        { name: 'setInterval', message: 'The core is driven by beats.' },
      ],
      'no-restricted-syntax': [
        'error',
        { selector: 'ThrowStatement', message: 'No exceptions in the core: return a Result.' },
      ],
    },
  },
);
