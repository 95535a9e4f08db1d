import {Either, Left, Right} from 'purify-ts';
import {
  Document,
  isMap,
  isNode,
  isPair,
  isScalar,
  isSeq,
  LineCounter,
  parseDocument,
  YAMLError,
} from 'yaml';
import {z} from 'zod';
import {Fault} from './types.js';

/** Longer values are truncated in messages. */
const MAX_VALUE_CHARACTERS = 60;

/** Limits the expansion of nested aliases, which can grow exponentially. */
const MAX_ALIASES = 100;

type Path = readonly PropertyKey[];

/**
 * Returns the line and column of the field at `path`, or of the key `key`
 * within it.
 */
type FieldLocator = (
  path: Path,
  key?: string,
) => {line?: number; column?: number} | undefined;

function formatValue(value: unknown): string {
  const text =
    typeof value === 'number' ? String(value) : (JSON.stringify(value) ?? '');
  return text.length > MAX_VALUE_CHARACTERS
    ? `${text.slice(0, MAX_VALUE_CHARACTERS)}...`
    : text;
}

function valueAt(root: unknown, path: Path): unknown {
  let value = root;
  for (const part of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    if (!Object.hasOwn(value, part)) return undefined;
    value = (value as Record<PropertyKey, unknown>)[part];
  }
  return value;
}

function formatPath(path: Path): string {
  return path.map(String).join('.');
}

/** Converts a zod issue; the result has one fault for each unknown key. */
function issueToFaults(
  issue: z.core.$ZodIssue,
  value: unknown,
  file: string,
  locate: FieldLocator,
): Fault[] {
  const accepted = issue.message;
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      file,
      ...locate(issue.path, key),
      field: formatPath([...issue.path, key]),
      message: 'is not a known field',
      accepted,
    }));
  }
  if (issue.code === 'invalid_key') {
    return [
      {
        file,
        ...locate(issue.path.slice(0, -1), String(issue.path.at(-1))),
        field: formatPath(issue.path),
        message: 'has a name that is not accepted',
        accepted: issue.issues[0]?.message ?? accepted,
      },
    ];
  }
  const given = valueAt(value, issue.path);
  return [
    {
      file,
      ...locate(issue.path),
      field: formatPath(issue.path),
      message:
        given === undefined ? 'is missing' : `cannot be ${formatValue(given)}`,
      accepted,
    },
  ];
}

/**
 * Validates a value against a schema built from fields.ts.
 *
 * @param file file name or other source to report in the faults.
 * @returns the parsed value, or all faults found.
 */
export function validate<T>(
  schema: z.ZodType<T>,
  value: unknown,
  file: string,
  locate: FieldLocator = () => undefined,
): Either<readonly Fault[], T> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Right(parsed.data);
  return Left(
    parsed.error.issues.flatMap(issue =>
      issueToFaults(issue, value, file, locate),
    ),
  );
}

/** Returns a locator that falls back to the deepest existing parent. */
function createLocator(document: Document, lines: LineCounter): FieldLocator {
  return (path, key) => {
    let node: unknown = document.contents;
    let start = isNode(node) ? node.range?.[0] : undefined;
    for (const part of key === undefined ? path : [...path, key]) {
      if (isSeq(node)) {
        node = node.items[Number(part)];
        if (!isNode(node)) break;
        start = node.range?.[0] ?? start;
        continue;
      }
      if (!isMap(node)) break;
      const pair = node.items.find(
        item =>
          isPair(item) && isScalar(item.key) && String(item.key.value) === part,
      );
      if (pair === undefined) break;
      const keyNode = pair.key as {range?: readonly number[] | null};
      start = keyNode.range?.[0] ?? start;
      node = pair.value;
    }
    if (start === undefined) return undefined;
    const {line, col} = lines.linePos(start);
    return {line, column: col};
  };
}

function yamlErrorToFault(
  error: YAMLError,
  text: string,
  file: string,
  lines: LineCounter,
): Fault {
  const start = error.pos[0];
  const {line, col} = lines.linePos(start);
  const location = {file, line, column: col};
  if (error.code === 'DUPLICATE_KEY') {
    const field = /^[^\s:]*/.exec(text.slice(start))?.[0] ?? '';
    return {...location, field, message: 'is given twice', accepted: 'once'};
  }
  const accepted = 'one well-formed YAML document';
  return {...location, field: '', message: error.message, accepted};
}

/** A parsed document and the locations of its fields. */
export interface ParsedYaml {
  readonly value: unknown;
  readonly locate: FieldLocator;
  /** Errors of YAML syntax, and keys given twice. */
  readonly faults: readonly Fault[];
  /** Whether `value` can be validated; true even if keys are given twice. */
  readonly usable: boolean;
}

/** Parses YAML without validating it against a schema; never throws. */
export function parseYamlDocument(text: string, file: string): ParsedYaml {
  const lines = new LineCounter();
  const document = parseDocument(text, {
    lineCounter: lines,
    prettyErrors: false,
  });
  const errors = [...document.errors, ...document.warnings];
  const faults = errors.map(error =>
    yamlErrorToFault(error, text, file, lines),
  );
  const locate = createLocator(document, lines);
  if (errors.some(error => error.code !== 'DUPLICATE_KEY')) {
    return {value: undefined, locate, faults, usable: false};
  }
  try {
    const value: unknown = document.toJS({maxAliasCount: MAX_ALIASES});
    return {value, locate, faults, usable: true};
  } catch (error) {
    const message = (error as Error).message;
    const accepted = `at most ${MAX_ALIASES} uses of aliases`;
    const fault = {file, line: 1, column: 1, field: '', message, accepted};
    return {value: undefined, locate, faults: [fault], usable: false};
  }
}

/** Parses and validates YAML; reports all faults in order of location. */
export function parseYaml<T>(
  schema: z.ZodType<T>,
  text: string,
  file: string,
): Either<readonly Fault[], T> {
  const parsed = parseYamlDocument(text, file);
  if (!parsed.usable) return Left(parsed.faults);
  const checked = validate(schema, parsed.value, file, parsed.locate);
  if (parsed.faults.length === 0 && checked.isRight()) return checked;
  return Left(sortFaults([...parsed.faults, ...checked.swap().orDefault([])]));
}

/** Sorts faults by line and column; those without a location come first. */
export function sortFaults(faults: readonly Fault[]): readonly Fault[] {
  return [...faults].sort(
    (a, b) =>
      (a.line ?? 0) - (b.line ?? 0) || (a.column ?? 0) - (b.column ?? 0),
  );
}

/** One line per fault: `file:line:column: field: message; accepted: x`. */
export function formatFaults(faults: readonly Fault[]): string {
  return faults
    .map(fault => {
      const location =
        fault.line === undefined
          ? fault.file
          : `${fault.file}:${fault.line}:${fault.column ?? 1}`;
      const field = fault.field === '' ? '' : `${fault.field}: `;
      const accepted =
        fault.accepted === undefined ? '' : `; accepted: ${fault.accepted}`;
      return `${location}: ${field}${fault.message}${accepted}`;
    })
    .join('\n');
}
