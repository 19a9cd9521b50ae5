/** Controller settings: a TOML file that is validated field by field. Field name suffixes are units. */

import * as v from 'valibot';
import { parseTomlTable, readTextFile, SettingsError } from './settings-error.js';

const NonEmptyString = v.pipe(v.string(), v.minLength(1));
const Address = v.pipe(v.string(), v.regex(/^[^\s:]+:\d{1,5}$/, 'must be ADDRESS:PORT'));
const PositiveNumber = v.pipe(v.number(), v.gtValue(0));
const NonNegativeNumber = v.pipe(v.number(), v.minValue(0));
const PositiveInteger = v.pipe(v.number(), v.integer(), v.minValue(1));

/** Minimum of `cancel_s` minus `lease_s`: leaves time to read the stored cancellations several times. */
const MIN_CANCELLATION_WINDOW_S = 2;

/**
 * Another controller, which the settings call a sibling; `peer_addr` is where it accepts peer connections.
 */
const PeerSchema = v.object({ host_name: NonEmptyString, area: NonEmptyString, peer_addr: Address });

/** Guaranteed and maximum CPUs and GPUs of a team; 0: no guarantee, or no maximum. */
const TeamSchema = v.object({
  name: NonEmptyString,
  cpus: NonNegativeNumber,
  cpus_max: NonNegativeNumber,
  gpus: NonNegativeNumber,
  gpus_max: NonNegativeNumber,
});

const ObjectiveSchema = v.object({
  kind: NonEmptyString,
  class: v.optional(v.string()),
  within_s: v.optional(v.number()),
  share: v.optional(v.number()),
});

const WorkersSchema = v.pipe(
  v.object({
    report_s: PositiveNumber,
    lease_s: PositiveNumber,
    gang_wait_s: NonNegativeNumber,
    gang_peer_s: NonNegativeNumber,
    cancel_s: PositiveNumber,
  }),
  // A worker's lease may still be renewed while a stored cancellation is not known yet. The difference of the
  // two settings bounds that time; without a difference no lease could ever be renewed.
  v.check(
    (workers) => workers.cancel_s >= workers.lease_s + MIN_CANCELLATION_WINDOW_S,
    `cancel_s must exceed lease_s by at least ${MIN_CANCELLATION_WINDOW_S} s`,
  ),
);

const SettingsSchema = v.object({
  host_name: NonEmptyString,
  area: NonEmptyString,
  bind: Address,
  mesh_addr: Address,
  siblings: v.optional(v.array(PeerSchema), []),
  services: v.object({ cloud: Address, state: Address }),
  params: v.object({
    size: PositiveInteger,
    zones: v.array(NonEmptyString),
    skew_ms: NonNegativeNumber,
    teams: v.pipe(v.array(TeamSchema), v.minLength(1)),
    objectives: v.optional(v.array(ObjectiveSchema), []),
    workers: WorkersSchema,
    state: v.object({
      rps: PositiveNumber,
      write_rps: PositiveNumber,
      value_kb: PositiveNumber,
      txn_ops: PositiveInteger,
    }),
    cloud: v.object({ rps: PositiveNumber, list_lag_s: NonNegativeNumber }),
    limits: v.object({ core_share: PositiveNumber, mem_mb: PositiveNumber, fd_limit: PositiveInteger }),
  }),
});

/** Validated settings, with the field names of the file. */
export type Settings = v.InferOutput<typeof SettingsSchema>;

/**
 * Parses and validates settings. Unknown fields are ignored. Throws a {@link SettingsError} that lists every
 * issue with its field.
 */
export function parseSettings(text: string): Settings {
  const checked = v.safeParse(SettingsSchema, parseTomlTable(text, 'settings are not TOML'));
  if (checked.success) return checked.output;
  throw new SettingsError(
    checked.issues.map((issue) => `${v.getDotPath(issue) ?? 'settings'}: ${issue.message}`),
  );
}

/** Loads a settings file. Throws a {@link SettingsError} if it cannot be read or is invalid. */
export function loadSettings(file: string): Settings {
  return parseSettings(readTextFile(file));
}
