/**
 * The lint rules. What existed before a rule came is listed in
 * eslint-suppressions.json, by file and rule with a count: a new violation
 * fails, and so does an entry that is no longer needed, so the list shrinks
 * only. Take entries out with `npx eslint . --prune-suppressions`.
 */
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/** Bounds on size, in lines without blanks and comments, and on branches. */
const FILE_LINES_MOST = 400;
const FUNCTION_LINES_MOST = 60;
const COMPLEXITY_MOST = 15;

const SKIP_BLANK_AND_COMMENTS = { skipBlankLines: true, skipComments: true };

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
      'max-lines': ['error', { max: FILE_LINES_MOST, ...SKIP_BLANK_AND_COMMENTS }],
      complexity: ['error', COMPLEXITY_MOST],
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
    // A `describe` block holds all of its tests, so tests are bounded by the file alone.
    files: ['**/src/**/*.ts'],
    ignores: ['**/*.test.ts'],
    plugins: { jsdoc },
    rules: {
      'max-lines-per-function': ['error', { max: FUNCTION_LINES_MOST, ...SKIP_BLANK_AND_COMMENTS }],
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: { ancestorsOnly: true, esm: true, cjs: false, window: false },
          require: { ClassDeclaration: true, FunctionDeclaration: true },
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'TSEnumDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
          enableFixer: false,
        },
      ],
    },
  },
  {
    files: [
      'packages/{common,messages,failure-detector,storage,process-group,configuration,placement,gateway,cluster-node,quotas,workloads}/src/**/*.ts',
    ],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-globals': [
        'error',
        { name: 'Date', message: 'Wall clocks jump: the core is given a monotonic Clock.' },
        { name: 'performance', message: 'The core is given its Clock.' },
        { name: 'setTimeout', message: 'The core is driven by ticks.' },
        { name: 'setInterval', message: 'The core is driven by ticks.' },
      ],
      'no-restricted-syntax': [
        'error',
        { selector: 'ThrowStatement', message: 'No exceptions in the core: return a Result.' },
      ],
    },
  },
);
