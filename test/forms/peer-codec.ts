import { Packr, UnpackrStream } from 'msgpackr';
import type { MeshMsg } from '../../src/core/controller.js';
import { decodePeerMessage, encodePeerMessage } from '../../src/wire/peer-codec.js';

/** A message as the bytes that a controller sends. */
export function encode(message: MeshMsg): Buffer {
  return Buffer.from(new Packr().pack(encodePeerMessage(message)));
}

/** The messages in bytes from a peer; null for each that is dropped. */
export function decode(bytes: Buffer): (MeshMsg | null)[] {
  const messages: (MeshMsg | null)[] = [];
  const stream = new UnpackrStream();
  stream.on('data', (value: unknown) => messages.push(decodePeerMessage(value)));
  stream.write(bytes);
  return messages;
}
