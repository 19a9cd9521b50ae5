/** The operators' policy: a TOML table of numbers and CEL expressions, type-checked before the controller starts. */

import { Environment } from '@marcbachmann/cel-js';
import type { Policy, PolicyFn, PolicyInput } from '../model/policy.js';
import { errorMessage, parseTable, readText, SettingsError } from './settings-error.js';

interface Range {
  min: number;
  max: number;
}

/** Each key of a policy, and the range its value is clamped to. */
const RANGES: Record<keyof Policy, Range> = {
  reserve_replicas: { min: 0, max: 1000 },
  reserve_batch: { min: 0, max: 100 },
  idle_s: { min: 0, max: 86400 },
  amortize_s: { min: 1, max: 86400 },
  amortize_service_s: { min: 1, max: 86400 },
  boot_patience: { min: 1, max: 100 },
  silent_s: { min: 1, max: 600 },
  silent_share: { min: 0, max: 1 },
  batch_tasks: { min: 1, max: 10000 },
  parting_s: { min: 1, max: 86400 },
  patience_s: { min: 0, max: 3600 },
};
const KEYS = Object.keys(RANGES) as (keyof Policy)[];

/** The names that expressions may use; all are doubles. */
const VARIABLES: (keyof PolicyInput)[] = [
  'services',
  'service_cpus',
  'queued',
  'queued_cpus',
  'batch_running',
  'machines',
  'report_s',
  'lease_s',
  'boot_s',
];

/** Evaluates one value of the policy. */
type Evaluate = (variables: Record<string, unknown>) => unknown;

/** A value made ready to be evaluated, or what is wrong with it. */
type CompiledValue = { ok: true; evaluate: Evaluate } | { ok: false; fault: string };

function createEnvironment(): Environment {
  const environment = new Environment();
  for (const name of VARIABLES) environment.registerVariable(name, 'double');
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
    if (!check.valid) return { ok: false, fault: joinLines(String(check.error?.message ?? 'type error')) };
    if (check.type !== 'double' && check.type !== 'int')
      return { ok: false, fault: `must be a number, is ${check.type}` };
    return { ok: true, evaluate: (variables) => evaluate(variables) };
  } catch (error) {
    return { ok: false, fault: joinLines(errorMessage(error)) };
  }
}

function compileValue(environment: Environment, value: unknown): CompiledValue {
  if (typeof value === 'number') return { ok: true, evaluate: () => value };
  if (typeof value === 'string') return compileExpression(environment, value);
  return { ok: false, fault: value === undefined ? 'missing' : 'must be a number or an expression' };
}

/** The key with its line in the text, if it is found there. */
function describeKey(text: string, key: string): string {
  const line = text.split('\n').findIndex((content) => content.trimStart().startsWith(key));
  return `policy.${key}${line < 0 ? '' : ` (line ${line + 1})`}`;
}

/** A result that is no number, as of a division by zero, becomes the least value. */
function clamp(value: number, { min, max }: Range): number {
  return Math.min(max, Math.max(min, Number.isFinite(value) ? value : min));
}

/**
 * A policy from its text, which must have every key and no other. Throws {@link SettingsError} that names every fault
 * with its key and line.
 */
export function compilePolicy(text: string): PolicyFn {
  const table = parseTable(text, 'policy is not TOML');
  const environment = createEnvironment();
  const faults: string[] = [];
  for (const key of Object.keys(table))
    if (!Object.hasOwn(RANGES, key)) faults.push(`${describeKey(text, key)}: unknown key`);
  const evaluators: { key: keyof Policy; evaluate: Evaluate }[] = [];
  for (const key of KEYS) {
    const compiled = compileValue(environment, table[key]);
    if (compiled.ok) evaluators.push({ key, evaluate: compiled.evaluate });
    else faults.push(`${describeKey(text, key)}: ${compiled.fault}`);
  }
  if (faults.length > 0) throw new SettingsError(faults);
  return (input) => {
    const policy: Partial<Policy> = {};
    for (const { key, evaluate } of evaluators)
      policy[key] = clamp(Number(evaluate({ ...input })), RANGES[key]);
    return policy as Policy;
  };
}

/** A policy from a file. Throws {@link SettingsError} if it can't be read or has faults. */
export function loadPolicy(file: string | URL): PolicyFn {
  return compilePolicy(readText(file));
}
