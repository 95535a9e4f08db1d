/** @type {import('ts-jest').JestConfigWithTsJest} */
module.exports = {
  testEnvironment: 'node',
  roots: [
    '<rootDir>/src',
    '<rootDir>/platform',
    '<rootDir>/tests',
    '<rootDir>/test_support',
    '<rootDir>/bench',
  ],
  testMatch: ['**/*.test.ts'],
  moduleNameMapper: {'^(\\.{1,2}/.*)\\.js$': '$1'},
  transform: {
    '^.+\\.ts$': [
      'ts-jest',
      {
        tsconfig: {
          isolatedModules: true,
          module: 'commonjs',
          moduleResolution: 'node10',
          target: 'es2022',
          esModuleInterop: true,
          strict: true,
          skipLibCheck: true,
        },
      },
    ],
  },
  testTimeout: 60000,
};
