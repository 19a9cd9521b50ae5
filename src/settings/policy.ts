import { readFileSync } from 'node:fs';
import { Environment } from '@marcbachmann/cel-js';
import { parse as parseToml } from 'smol-toml';
import type { Policy, PolicyFn, PolicyInput } from '../core/policy.js';
import { SettingsError } from './settings.js';

/** Each key with the range its value is held to. */
const KEYS: Record<keyof Policy, [number, number]> = {
  reserve_replicas: [0, 1000],
  reserve_batch: [0, 100],
  idle_s: [0, 86400],
  amortize_s: [1, 86400],
  amortize_service_s: [1, 86400],
  boot_patience: [1, 100],
  silent_s: [1, 600],
  silent_share: [0, 1],
  batch_tasks: [1, 10000],
  parting_s: [1, 86400],
  patience_s: [0, 3600],
};
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

function position(text: string, key: string): string {
  const n = text.split('\n').findIndex((l) => l.trimStart().startsWith(key));
  return n < 0 ? '' : ` (line ${n + 1})`;
}

/** A policy from its text: a table of expressions, each type-checked before the process starts work. */
export function checkPolicy(text: string): PolicyFn {
  let raw: Record<string, unknown>;
  try {
    raw = parseToml(text) as Record<string, unknown>;
  } catch (e) {
    throw new SettingsError([
      `policy is not TOML: ${String(e instanceof Error ? e.message : e).split('\n')[0]}`,
    ]);
  }
  const env = new Environment();
  for (const name of VARIABLES) env.registerVariable(name, 'double');
  env.registerFunction('min(double, double): double', (a: number, b: number) => Math.min(a, b));
  env.registerFunction('max(double, double): double', (a: number, b: number) => Math.max(a, b));
  env.registerFunction('ceil(double): double', (a: number) => Math.ceil(a));
  const faults: string[] = [];
  const made: { key: keyof Policy; run: (i: Record<string, unknown>) => unknown }[] = [];
  for (const key of Object.keys(raw))
    if (!Object.hasOwn(KEYS, key)) faults.push(`policy.${key}${position(text, key)}: unknown key`);
  for (const key of Object.keys(KEYS) as (keyof Policy)[]) {
    const val = raw[key];
    if (typeof val === 'number') {
      made.push({ key, run: () => val });
      continue;
    }
    if (typeof val !== 'string') {
      faults.push(
        `policy.${key}${position(text, key)}: ${val === undefined ? 'missing' : 'must be a number or an expression'}`,
      );
      continue;
    }
    try {
      const expr = env.parse(val);
      const check = expr.check();
      if (!check.valid)
        faults.push(
          `policy.${key}${position(text, key)}: ${String(check.error?.message ?? 'type error')
            .split('\n')
            .join(' ')}`,
        );
      else if (check.type !== 'double' && check.type !== 'int')
        faults.push(`policy.${key}${position(text, key)}: must be a number, is ${check.type}`);
      else made.push({ key, run: (i) => expr(i) });
    } catch (e) {
      faults.push(
        `policy.${key}${position(text, key)}: ${String(e instanceof Error ? e.message : e)
          .split('\n')
          .join(' ')}`,
      );
    }
  }
  if (faults.length > 0) throw new SettingsError(faults);
  return (input) => {
    const out: Partial<Policy> = {};
    for (const { key, run } of made) {
      const [low, high] = KEYS[key];
      const n = Number(run({ ...input }));
      out[key] = Math.min(high, Math.max(low, Number.isFinite(n) ? n : low));
    }
    return out as Policy;
  };
}

export function loadPolicy(file: string | URL): PolicyFn {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (e) {
    throw new SettingsError([`cannot read ${String(file)}: ${(e as Error).message}`]);
  }
  return checkPolicy(text);
}
