import {readFileSync} from 'node:fs';
import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {SECOND} from '../common/base/clock.js';
import {DEFAULT_SCHEDULER_TIMING} from '../common/jobs/types.js';
import {DEFAULT_LEADERSHIP_TIMING} from '../common/leadership/types.js';
import {
  validate,
  formatFaults,
  parseYamlDocument,
  sortFaults,
} from '../common/tickets/checked_yaml.js';
import {
  choiceField,
  nonNegativeDurationField,
  durationField,
  ipAddressField,
  mapField,
  nameField,
  numberField,
  strictFields,
  urlField,
  integerField,
} from '../common/tickets/fields.js';
import {Fault} from '../common/tickets/types.js';
import {LogLevel, Settings, SettingsError} from './types.js';

/** Defaults of the optional settings. */
export const SETTINGS_DEFAULTS = {
  limits: {
    /** The limit of section 6 of the design page: 1 MiB. */
    maxBodyBytes: 1024 * 1024,
    /** 64 bodies of the largest size at the same time. */
    maxHeldBodyBytes: 64 * 1024 * 1024,
    /**
     * Jobs per day of all data centres at the size planned for two years ahead,
     * rounded up.
     */
    maxQueuedJobs: 65_536,
    /** An instance of the planned size has far fewer connections. */
    maxCallerConnections: 8192,
    /** Section 3.8 of the design page. */
    maxPeerQueueMessages: 1000,
    maxPeerQueueBytes: 4 * 1024 * 1024,
  },
  timeouts: {
    /** Section 3.7 of the design page. */
    drainMs: 30 * SECOND,
    requestMs: 30 * SECOND,
    claimMs: 2 * SECOND,
    logAppendMs: 5 * SECOND,
    logWaitMs: 2 * SECOND,
    instanceListMs: SECOND,
    workerMs: SECOND,
    /** Section 3.8 of the design page. */
    peerSilenceMs: 2 * SECOND,
    /** Section 3.4 of the design page. */
    ticketStaleMs: 7 * SECOND,
  },
  leadership: DEFAULT_LEADERSHIP_TIMING,
  scheduler: DEFAULT_SCHEDULER_TIMING,
  log: {level: LogLevel.INFO},
} as const;

/** Environment variables that override a setting, with the setting's path. */
export const ENVIRONMENT_OVERRIDES: Readonly<
  Record<string, readonly [string, ...string[]]>
> = {
  JASMINEGAUGE_INSTANCE: ['instance'],
  JASMINEGAUGE_DATA_CENTRE: ['dataCentre'],
  JASMINEGAUGE_LOG_LEVEL: ['log', 'level'],
};

const MAX_PORT = 65_535;

/** Clocks of real machines drift by far less than this fraction. */
const MAX_DRIFT_FRACTION = 0.25;

function addressField() {
  return strictFields({
    host: ipAddressField(),
    port: integerField(1, MAX_PORT),
  });
}

const {limits, timeouts, leadership, scheduler, log} = SETTINGS_DEFAULTS;

const LIMITS_SCHEMA = strictFields({
  maxBodyBytes: integerField(1).default(limits.maxBodyBytes),
  maxHeldBodyBytes: integerField(1).default(limits.maxHeldBodyBytes),
  maxQueuedJobs: integerField(1).default(limits.maxQueuedJobs),
  maxCallerConnections: integerField(1).default(limits.maxCallerConnections),
  maxPeerQueueMessages: integerField(1).default(limits.maxPeerQueueMessages),
  maxPeerQueueBytes: integerField(1).default(limits.maxPeerQueueBytes),
});

const TIMEOUTS_SCHEMA = strictFields({
  drainMs: nonNegativeDurationField().default(timeouts.drainMs),
  requestMs: durationField().default(timeouts.requestMs),
  claimMs: durationField().default(timeouts.claimMs),
  logAppendMs: durationField().default(timeouts.logAppendMs),
  logWaitMs: durationField().default(timeouts.logWaitMs),
  instanceListMs: durationField().default(timeouts.instanceListMs),
  workerMs: durationField().default(timeouts.workerMs),
  peerSilenceMs: durationField().default(timeouts.peerSilenceMs),
  ticketStaleMs: durationField().default(timeouts.ticketStaleMs),
});

const LEADERSHIP_SCHEMA = strictFields({
  leaseMs: durationField().default(leadership.leaseMs),
  renewMs: durationField().default(leadership.renewMs),
  suspectMs: durationField().default(leadership.suspectMs),
  driftFraction: numberField(0, MAX_DRIFT_FRACTION).default(
    leadership.driftFraction,
  ),
  viewCheckpointMs: durationField().default(leadership.viewCheckpointMs),
});

const SCHEDULER_SCHEMA = strictFields({
  taskLeaseMs: durationField().default(scheduler.taskLeaseMs),
  pollMs: durationField().default(scheduler.pollMs),
  driftFraction: numberField(0, MAX_DRIFT_FRACTION).default(
    scheduler.driftFraction,
  ),
  claimKeptMs: durationField().default(scheduler.claimKeptMs),
});

const LOG_SCHEMA = strictFields({
  level: choiceField(Object.values(LogLevel)).default(log.level),
});

const SETTINGS_SCHEMA = strictFields({
  instance: nameField(),
  dataCentre: nameField(),
  dataCentres: mapField(strictFields({delayMs: nonNegativeDurationField()})),
  caller: addressField(),
  operator: addressField(),
  peer: addressField(),
  platform: strictFields({log: urlField(), instances: urlField()}),
  peers: z.array(addressField(), {error: 'a list of addresses'}).default([]),
  limits: LIMITS_SCHEMA.prefault({}),
  timeouts: TIMEOUTS_SCHEMA.prefault({}),
  leadership: LEADERSHIP_SCHEMA.prefault({}),
  scheduler: SCHEDULER_SCHEMA.prefault({}),
  log: LOG_SCHEMA.prefault({}),
});

/** A condition on several settings together. */
interface CrossSettingRule {
  /** Setting that a fault names. */
  readonly path: readonly [string, ...string[]];
  /** Accepted values, as the error message words them. */
  readonly accepted: string;
  readonly isMet: (settings: Settings) => boolean;
}

function isSameAddress(a: Settings['caller'], b: Settings['caller']): boolean {
  return a.port === b.port && a.host === b.host;
}

const CROSS_SETTING_RULES: readonly CrossSettingRule[] = [
  {
    path: ['dataCentre'],
    accepted: 'one of the names in dataCentres',
    isMet: settings => Object.hasOwn(settings.dataCentres, settings.dataCentre),
  },
  {
    path: ['operator', 'port'],
    accepted: 'an address other than that of caller',
    isMet: settings => !isSameAddress(settings.operator, settings.caller),
  },
  {
    path: ['peer', 'port'],
    accepted: 'an address other than those of caller and operator',
    isMet: settings =>
      !isSameAddress(settings.peer, settings.caller) &&
      !isSameAddress(settings.peer, settings.operator),
  },
  {
    path: ['leadership', 'renewMs'],
    accepted: 'at most half of leadership.suspectMs',
    isMet: ({leadership: timing}) => 2 * timing.renewMs <= timing.suspectMs,
  },
  {
    path: ['leadership', 'suspectMs'],
    accepted: 'less than leadership.leaseMs',
    isMet: ({leadership: timing}) => timing.suspectMs < timing.leaseMs,
  },
  {
    path: ['scheduler', 'pollMs'],
    accepted: 'at most a third of scheduler.taskLeaseMs',
    isMet: ({scheduler: timing}) => 3 * timing.pollMs <= timing.taskLeaseMs,
  },
  {
    path: ['scheduler', 'claimKeptMs'],
    accepted: 'at least 24h, because requests up to 23h old are accepted',
    isMet: ({scheduler: timing}) =>
      timing.claimKeptMs >= DEFAULT_SCHEDULER_TIMING.claimKeptMs,
  },
];

type Environment = Readonly<Record<string, string | undefined>>;

/**
 * Returns a copy of `value` with `text` at a path. Returns a scalar or an array
 * unchanged, so that the schema reports it as invalid.
 */
function withValueAt(
  value: unknown,
  [name, ...rest]: readonly string[],
  text: string,
): unknown {
  const fields = value ?? {};
  if (typeof fields !== 'object' || Array.isArray(fields)) return value;
  const child = (fields as Record<string, unknown>)[name];
  return {
    ...fields,
    [name]: rest.length === 0 ? text : withValueAt(child, rest, text),
  };
}

function invalidSettings(faults: readonly Fault[]): SettingsError {
  const count = faults.length === 1 ? '1 fault' : `${faults.length} faults`;
  return {
    kind: 'invalid',
    faults,
    message:
      `The settings have ${count}:\n${formatFaults(faults)}\n` +
      'Correct them; every setting is described in docs/SETTINGS.md.',
  };
}

/** Returns the settings, or a fault for each condition that is not met. */
function checkCrossSettingRules(
  settings: Settings,
  faultAt: (path: readonly string[]) => Pick<Fault, 'file' | 'line' | 'column'>,
): Either<readonly Fault[], Settings> {
  const unmet = CROSS_SETTING_RULES.filter(rule => !rule.isMet(settings)).map(
    rule => ({
      ...faultAt(rule.path),
      field: rule.path.join('.'),
      message: 'does not fit the other settings',
      accepted: rule.accepted,
    }),
  );
  return unmet.length === 0 ? Right(settings) : Left(unmet);
}

/**
 * Parses and checks settings.
 *
 * @param text the settings as YAML.
 * @param file the name of the file, for error messages.
 * @param env environment variables; those of `ENVIRONMENT_OVERRIDES` override
 *   settings.
 * @returns the settings with defaults filled in, or all faults together.
 */
export function parseSettings(
  text: string,
  file: string,
  env: Environment,
): Either<SettingsError, Settings> {
  const yaml = parseYamlDocument(text, file);
  if (!yaml.usable) return Left(invalidSettings(yaml.faults));
  const variables = Object.entries(ENVIRONMENT_OVERRIDES).filter(
    ([variable]) => env[variable] !== undefined,
  );
  const value = variables.reduce<unknown>(
    (before, [variable, path]) => withValueAt(before, path, env[variable]!),
    yaml.value,
  );
  /** Makes a fault of an overridden setting name the variable, not the file. */
  const nameVariable = (fault: Fault): Fault => {
    const variable = variables.find(
      ([, path]) => path.join('.') === fault.field,
    );
    if (variable === undefined) return fault;
    const {message, accepted} = fault;
    return {file: 'environment', field: variable[0], message, accepted};
  };
  const checked: Either<readonly Fault[], Settings> = validate(
    SETTINGS_SCHEMA,
    value,
    file,
    yaml.locate,
  ).chain(settings =>
    checkCrossSettingRules(settings, path => ({file, ...yaml.locate(path)})),
  );
  const faults = sortFaults([
    ...yaml.faults,
    ...checked.swap().orDefault([]).map(nameVariable),
  ]);
  return faults.length > 0
    ? Left(invalidSettings(faults))
    : checked.mapLeft(invalidSettings);
}

/**
 * Reads, parses and checks a settings file.
 *
 * @returns the settings, or an error if the file is unreadable or invalid.
 */
export function loadSettings(
  file: string,
  env: Environment,
): Either<SettingsError, Settings> {
  return Either.encase(() => readFileSync(file, 'utf8'))
    .mapLeft<SettingsError>(error => ({
      kind: 'unreadable',
      faults: [],
      message:
        `The settings file ${file} cannot be read: ${error.message}. ` +
        'Name a readable file; its format is described in docs/SETTINGS.md.',
    }))
    .chain(text => parseSettings(text, file, env));
}
