/**
 * Declarative mapping between typed values and their encoded forms. Messages between controllers and stored records keep
 * the short names that earlier versions write and read, whatever a field is called in the program.
 */

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

/** A field's encoded name, with a codec where its value is not written as it is. */
export type FieldMapping<T> = string | { readonly name: string; readonly codec: Codec<T> };

/** The encoded name of each field of `T`. */
export type FieldMappings<T> = { readonly [Key in keyof T]-?: FieldMapping<NonNullable<T[Key]>> };

/** A field whose value has a codec of its own; null and undefined are written as they are. */
export function field<T>(name: string, codec: Codec<T>): FieldMapping<T> {
  return { name, codec };
}

/** An object with named fields, written in the order of the mappings. Absent fields stay absent, unknown ones are ignored. */
export function object<T extends object>(mappings: FieldMappings<T>): Codec<T> {
  const encoding: Translation[] = [];
  const decoding: Translation[] = [];
  for (const [key, mapping] of Object.entries(mappings) as [string, FieldMapping<unknown>][]) {
    const { name, codec } = typeof mapping === 'string' ? { name: mapping, codec: null } : mapping;
    encoding.push({ from: key, to: name, convert: codec && ((value) => codec.encode(value)) });
    decoding.push({ from: name, to: key, convert: codec && ((value) => codec.decode(value)) });
  }
  return {
    encode: (value) => translate(value as Record<string, unknown>, encoding),
    decode: (encoded) => {
      if (!isObject(encoded)) throw new DecodeError('an object', encoded);
      return translate(encoded, decoding) as T;
    },
  };
}

interface Translation {
  readonly from: string;
  readonly to: string;
  readonly convert: ((value: unknown) => unknown) | null;
}

function translate(
  source: Readonly<Record<string, unknown>>,
  translations: readonly Translation[],
): Record<string, unknown> {
  const target: Record<string, unknown> = {};
  for (const { from, to, convert } of translations) {
    const value = source[from];
    if (value === undefined) continue;
    target[to] = convert === null || value === null ? value : convert(value);
  }
  return target;
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
      if (!isObject(encoded)) throw new DecodeError('an object', encoded);
      const variant = decoders.get(encoded[encodedTag]);
      if (!variant) throw new DecodeError(`a known ${encodedTag}`, encoded[encodedTag]);
      return { ...variant.codec.decode(encoded), type: variant.tag };
    },
  };
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
