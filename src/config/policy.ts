/** Operator policy: a TOML table of numbers and of CEL expressions, which are type-checked at startup. */

import { Environment } from '@marcbachmann/cel-js';
import type { Policy, PolicyFn, PolicyInput } from '../model/policy.js';
import { getErrorMessage, parseTomlTable, readTextFile, SettingsError } from './settings-error.js';

interface Range {
  min: number;
  max: number;
}

/** Definition of a key of the policy table. */
interface PolicyKey {
  field: keyof Policy;
  /** Range that the value is clamped to. */
  range: Range;
}

/** Keys of the policy table and the policy fields that they set. */
const POLICY_KEYS: Readonly<Record<string, PolicyKey>> = {
  reserve_replicas: { field: 'reserveReplicas', range: { min: 0, max: 1000 } },
  reserve_batch: { field: 'reserveBatchJobs', range: { min: 0, max: 100 } },
  idle_s: { field: 'maxIdleSeconds', range: { min: 0, max: 86400 } },
  amortize_s: { field: 'amortizationSeconds', range: { min: 1, max: 86400 } },
  amortize_service_s: { field: 'serviceAmortizationSeconds', range: { min: 1, max: 86400 } },
  boot_patience: { field: 'maxBootTimeFactor', range: { min: 1, max: 100 } },
  silent_s: { field: 'unresponsiveSeconds', range: { min: 1, max: 600 } },
  silent_share: { field: 'maxUnresponsiveShare', range: { min: 0, max: 1 } },
  batch_tasks: { field: 'maxTasksPerRequest', range: { min: 1, max: 10000 } },
  parting_s: { field: 'rebalanceIntervalSeconds', range: { min: 1, max: 86400 } },
  patience_s: { field: 'rentalWaitFloorSeconds', range: { min: 0, max: 3600 } },
};

/**
 * Variables of the expressions, all of type double, and the fields of the policy input that they stand for.
 */
const VARIABLES: Readonly<Record<string, keyof PolicyInput>> = {
  services: 'serviceReplicas',
  service_cpus: 'serviceCpus',
  queued: 'queuedTasks',
  queued_cpus: 'queuedCpus',
  batch_running: 'runningBatchTasks',
  machines: 'machines',
  report_s: 'heartbeatIntervalSeconds',
  lease_s: 'leaseSeconds',
  boot_s: 'bootSeconds',
};

/** Evaluates one compiled policy value. */
type EvaluateFn = (variables: Record<string, unknown>) => unknown;

/** A compiled policy value, or a description of the error in it. */
type CompiledValue = { ok: true; evaluate: EvaluateFn } | { ok: false; issue: string };

function createEnvironment(): Environment {
  const environment = new Environment();
  for (const name of Object.keys(VARIABLES)) environment.registerVariable(name, 'double');
  environment.registerFunction('min(double, double): double', (a: number, b: number) => Math.min(a, b));
  environment.registerFunction('max(double, double): double', (a: number, b: number) => Math.max(a, b));
  environment.registerFunction('ceil(double): double', (value: number) => Math.ceil(value));
  return environment;
}

function joinLines(text: string): string {
  return text.split('\n').join(' ');
}

function compileExpression(environment: Environment, expression: string): CompiledValue {
  try {
    const evaluate = environment.parse(expression);
    const check = evaluate.check();
    if (!check.valid) return { ok: false, issue: joinLines(String(check.error?.message ?? 'type error')) };
    if (check.type !== 'double' && check.type !== 'int')
      return { ok: false, issue: `must be a number, is ${check.type}` };
    return { ok: true, evaluate: (variables) => evaluate(variables) };
  } catch (error) {
    return { ok: false, issue: joinLines(getErrorMessage(error)) };
  }
}

function compileValue(environment: Environment, value: unknown): CompiledValue {
  if (typeof value === 'number') return { ok: true, evaluate: () => value };
  if (typeof value === 'string') return compileExpression(environment, value);
  return { ok: false, issue: value === undefined ? 'missing' : 'must be a number or an expression' };
}

/** Names a key together with the number of the first line that starts with it, if there is one. */
function describeKey(text: string, key: string): string {
  const line = text.split('\n').findIndex((lineText) => lineText.trimStart().startsWith(key));
  return `policy.${key}${line < 0 ? '' : ` (line ${line + 1})`}`;
}

function toVariables(input: PolicyInput): Record<string, number> {
  const variables: Record<string, number> = {};
  for (const [name, field] of Object.entries(VARIABLES)) variables[name] = input[field];
  return variables;
}

/** Clamps a value to its range. A non-finite value, as from a division by zero, becomes the minimum. */
function clamp(value: number, { min, max }: Range): number {
  return Math.min(max, Math.max(min, Number.isFinite(value) ? value : min));
}

/**
 * Compiles a policy. The text must define every key and no others. Throws a {@link SettingsError} that lists
 * every issue with its key and line.
 */
export function compilePolicy(text: string): PolicyFn {
  const table = parseTomlTable(text, 'policy is not TOML');
  const environment = createEnvironment();
  const issues: string[] = [];
  for (const key of Object.keys(table))
    if (!Object.hasOwn(POLICY_KEYS, key)) issues.push(`${describeKey(text, key)}: unknown key`);
  const evaluators: (PolicyKey & { evaluate: EvaluateFn })[] = [];
  for (const [key, definition] of Object.entries(POLICY_KEYS)) {
    const compiled = compileValue(environment, table[key]);
    if (compiled.ok) evaluators.push({ ...definition, evaluate: compiled.evaluate });
    else issues.push(`${describeKey(text, key)}: ${compiled.issue}`);
  }
  if (issues.length > 0) throw new SettingsError(issues);
  return (input) => {
    const variables = toVariables(input);
    const policy: Partial<Policy> = {};
    for (const { field, range, evaluate } of evaluators)
      policy[field] = clamp(Number(evaluate(variables)), range);
    return policy as Policy;
  };
}

/** Loads and compiles a policy file. Throws a {@link SettingsError} if it cannot be read or is invalid. */
export function loadPolicy(file: string | URL): PolicyFn {
  return compilePolicy(readTextFile(file));
}
