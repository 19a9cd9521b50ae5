/**
 * Declarative mapping between typed values and their encoded forms. Messages between controllers and stored records keep
 * the short names that earlier versions write and read, whatever a field is called in the program.
 */

import { isJsonObject } from './json.js';

/** Translates a value to its encoded form and back. */
export interface Codec<T> {
  encode(value: T): unknown;
  /** Throws a `DecodeError` where the encoded value is not of the expected form. */
  decode(encoded: unknown): T;
}

/** An encoded value is not of the form that controllers write. */
export class DecodeError extends Error {
  constructor(expected: string, encoded: unknown) {
    super(`expected ${expected}, got ${encoded === null ? 'null' : typeof encoded}`);
    this.name = 'DecodeError';
  }
}

/** A field's encoded name, with a codec where its value is not written as it is, or must be there to be read. */
export type FieldMapping<T> = string | CodedField<T>;

interface CodedField<T> {
  readonly name: string;
  readonly codec: Codec<T>;
  /** What lacks the field, or has null for it, can't be decoded. */
  readonly isRequired: boolean;
}

/** The encoded name of each field of `T`. */
export type FieldMappings<T> = { readonly [Key in keyof T]-?: FieldMapping<NonNullable<T[Key]>> };

/** A field whose value has a codec of its own; null and undefined are written as they are. */
export function field<T>(name: string, codec: Codec<T>): FieldMapping<T> {
  return { name, codec, isRequired: false };
}

/** A field without which an object can't be decoded. */
export function requiredField<T>(name: string, codec: Codec<T>): FieldMapping<T> {
  return { name, codec, isRequired: true };
}

/** An object with named fields, written in the order of the mappings. Absent fields stay absent, unknown ones are ignored. */
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
 * A function that copies fields under their other names. Controllers translate lists of hundreds of objects several times a
 * second, and a loop over the names, which the engine can't optimize for one kind of object, takes several times as long as
 * this generated code. Only the names of the tables become part of the code, never a value.
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

/** Words of which some are written differently; others, unknown ones included, are written and read as they are. */
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

/** Values that are written as they are, and read if they pass a check. */
export function checked<T>(expected: string, isValid: (encoded: unknown) => boolean): Codec<T> {
  return {
    encode: (value) => value,
    decode: (encoded) => {
      if (!isValid(encoded)) throw new DecodeError(expected, encoded);
      return encoded as T;
    },
  };
}

/** A list of values of one kind. */
export function list<T>(codec: Codec<T>): Codec<T[]> {
  return {
    encode: (values) => values.map((value) => codec.encode(value)),
    decode: (encoded) => {
      if (!Array.isArray(encoded)) throw new DecodeError('a list', encoded);
      return encoded.map((value) => codec.decode(value));
    },
  };
}

/** One kind of a tagged union: the value of its tag, as encoded, and the mappings of its fields, the tag among them. */
export interface Variant<T extends object> {
  readonly tagValue: string;
  readonly fields: FieldMappings<T>;
}

/** A union told apart by the tag `type`, whose encoded name and values are given with the variants. */
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
