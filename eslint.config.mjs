import js from '@eslint/js';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  {ignores: ['dist/**', 'node_modules/**', 'target/**']},
  js.configs.recommended,
  ...tseslint.configs.recommended,
  {
    files: ['**/*.cjs'],
    languageOptions: {globals: {module: 'writable', require: 'readonly'}},
  },
  {
    files: ['**/*.ts'],
    rules: {
      // Google TypeScript Style Guide.
      'prefer-const': 'error',
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      curly: ['error', 'multi-line'],
      'no-var': 'error',
      'no-restricted-syntax': [
        'error',
        {selector: 'ExportDefaultDeclaration', message: 'Use a named export.'},
        {selector: 'TSEnumDeclaration', message: 'Use a constant object.'},
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^unused', varsIgnorePattern: '^unused'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: 'variable',
          modifiers: ['const', 'global'],
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
        },
        {
          selector: 'memberLike',
          modifiers: ['private'],
          format: ['camelCase'],
          leadingUnderscore: 'forbid',
        },
      ],
      'max-lines-per-function': [
        'error',
        {max: 70, skipComments: true, skipBlankLines: true},
      ],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: {'max-lines-per-function': 'off'},
  },
);
