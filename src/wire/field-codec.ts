/**
 * Declarative mapping between typed values and their encoded forms. Messages between controllers and stored
 * records keep the short names that earlier versions read and write, independently of the field names in the
 * code.
 */

import { isJsonObject } from './json.js';

/** Converts a value to its encoded form and back. */
export interface Codec<T> {
  encode(value: T): unknown;
  /** Throws a {@link DecodeError} if the encoded value does not have the expected form. */
  decode(encoded: unknown): T;
}

/** Thrown when an encoded value does not have the form that controllers write. */
export class DecodeError extends Error {
  constructor(expected: string, encoded: unknown) {
    super(`expected ${expected}, got ${encoded === null ? 'null' : typeof encoded}`);
    this.name = 'DecodeError';
  }
}

/** A field's encoded name, with a codec if its value is converted or the field is required. */
export type FieldMapping<T> = string | CodedField<T>;

interface CodedField<T> {
  readonly name: string;
  readonly codec: Codec<T>;
  /** Whether decoding fails if the field is missing or null. */
  readonly isRequired: boolean;
}

/** The mapping of each field of `T`. */
export type FieldMappings<T> = { readonly [Key in keyof T]-?: FieldMapping<NonNullable<T[Key]>> };

/** Maps a field whose value has its own codec; null and undefined are not converted. */
export function field<T>(name: string, codec: Codec<T>): FieldMapping<T> {
  return { name, codec, isRequired: false };
}

/** Maps a field that must be present and not null for the object to be decoded. */
export function requiredField<T>(name: string, codec: Codec<T>): FieldMapping<T> {
  return { name, codec, isRequired: true };
}

/**
 * Creates a codec for an object. Fields are written in the order of the mappings; absent fields stay absent
 * and unknown fields are ignored.
 */
export function object<T extends object>(mappings: FieldMappings<T>): Codec<T> {
  const fields = (Object.entries(mappings) as [string, FieldMapping<unknown>][]).map(([key, mapping]) =>
    typeof mapping === 'string'
      ? { key, name: mapping, codec: null, isRequired: false }
      : { key, ...mapping },
  );
  const encodeFields = compileTranslation(
    fields.map(({ key, name, codec }) => ({
      from: key,
      to: name,
      convert: codec && ((value) => codec.encode(value)),
    })),
  );
  const decodeFields = compileTranslation(
    fields.map(({ key, name, codec }) => ({
      from: name,
      to: key,
      convert: codec && ((value) => codec.decode(value)),
    })),
  );
  const requiredNames = fields.filter(({ isRequired }) => isRequired).map(({ name }) => name);
  return {
    encode: (value) => encodeFields(value as Record<string, unknown>),
    decode: (encoded) => {
      if (!isJsonObject(encoded)) throw new DecodeError('an object', encoded);
      for (const name of requiredNames)
        if (encoded[name] === undefined || encoded[name] === null) throw new DecodeError(name, encoded[name]);
      return decodeFields(encoded) as T;
    },
  };
}

interface FieldTranslation {
  readonly from: string;
  readonly to: string;
  readonly convert: ((value: unknown) => unknown) | null;
}

type Translation = (source: Readonly<Record<string, unknown>>) => Record<string, unknown>;

/**
 * Creates a function that copies fields under their other names. Controllers translate lists of hundreds of
 * objects several times per second. A loop over the names, which the engine can't optimize for one object
 * shape, takes several times as long as this generated code. Only names from the mapping tables become part
 * of the generated code, never a value.
 */
function compileTranslation(fields: readonly FieldTranslation[]): Translation {
  const statements = fields.map(({ from, to, convert }, index) => {
    const converted = convert === null ? 'value' : `value === null ? null : converters[${index}](value)`;
    return `value = source[${JSON.stringify(from)}];
      if (value !== undefined) target[${JSON.stringify(to)}] = ${converted};`;
  });
  const createTranslation = new Function(
    'converters',
    `return (source) => {
      const target = {};
      let value;
      ${statements.join('\n')}
      return target;
    };`,
  ) as (converters: FieldTranslation['convert'][]) => Translation;
  return createTranslation(fields.map(({ convert }) => convert));
}

/**
 * Creates a codec for string values, some of which are encoded under another name. All others, including
 * unknown ones, are kept as they are.
 */
export function renamedValues<T extends string>(encodedNames: { readonly [Value in T]?: string }): Codec<T> {
  const encoded = new Map<unknown, unknown>(Object.entries(encodedNames));
  const decoded = new Map<unknown, unknown>(
    Object.entries(encodedNames).map(([value, name]) => [name, value]),
  );
  return {
    encode: (value) => encoded.get(value) ?? value,
    decode: (name) => (decoded.get(name) ?? name) as T,
  };
}

/** Creates a codec for values that are not converted but must pass a check to be decoded. */
export function checked<T>(expected: string, isValid: (encoded: unknown) => boolean): Codec<T> {
  return {
    encode: (value) => value,
    decode: (encoded) => {
      if (!isValid(encoded)) throw new DecodeError(expected, encoded);
      return encoded as T;
    },
  };
}

/** Creates a codec for a list of values of one type. */
export function list<T>(codec: Codec<T>): Codec<T[]> {
  return {
    encode: (values) => values.map((value) => codec.encode(value)),
    decode: (encoded) => {
      if (!Array.isArray(encoded)) throw new DecodeError('a list', encoded);
      return encoded.map((value) => codec.decode(value));
    },
  };
}

/**
 * One variant of a tagged union: the encoded value of its tag, and the mappings of its fields including the
 * tag.
 */
export interface Variant<T extends object> {
  readonly tagValue: string;
  readonly fields: FieldMappings<T>;
}

/**
 * Creates a codec for a union discriminated by the field `type`. `encodedTag` is the encoded name of that
 * field; each variant has the encoded value.
 */
export function taggedUnion<T extends { type: string }>(
  encodedTag: string,
  variants: { readonly [Tag in T['type']]: Variant<Extract<T, { type: Tag }>> },
): Codec<T> {
  const encoders = new Map<string, { tagValue: string; codec: Codec<T> }>();
  const decoders = new Map<unknown, { tag: string; codec: Codec<T> }>();
  for (const [tag, { tagValue, fields }] of Object.entries<Variant<T>>(variants)) {
    const codec = object(fields);
    encoders.set(tag, { tagValue, codec });
    decoders.set(tagValue, { tag, codec });
  }
  return {
    encode: (value) => {
      const variant = encoders.get(value.type);
      if (!variant) throw new TypeError(`no encoded form for ${value.type}`);
      const encoded = variant.codec.encode(value) as Record<string, unknown>;
      encoded[encodedTag] = variant.tagValue;
      return encoded;
    },
    decode: (encoded) => {
      if (!isJsonObject(encoded)) throw new DecodeError('an object', encoded);
      const variant = decoders.get(encoded[encodedTag]);
      if (!variant) throw new DecodeError(`a known ${encodedTag}`, encoded[encodedTag]);
      return { ...variant.codec.decode(encoded), type: variant.tag };
    },
  };
}
