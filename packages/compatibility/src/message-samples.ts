/**
 * Sample messages with every field set to a distinct value, and messages read
 * back by field number. No message or field is referred to by name, because
 * names may change without a change of the binary form.
 */
import {
  fromBinary,
  ScalarType,
  toBinary,
  type DescField,
  type DescMessage,
  type Message,
} from '@bufbuild/protobuf';
import { reflect, type ReflectList, type ReflectMessage } from '@bufbuild/protobuf/reflect';
import { FrameSchema, WIRE_VERSION } from '@rainrun/messages';
import { MESSAGES } from './wire-schema.js';

/** The values of a message by field number; fields that are not set are omitted. */
export interface FieldValues {
  readonly [number: number]: unknown;
}

/** One message in its binary form, with its field values. */
export interface MessageSample {
  /** Position of the message in the schema. */
  readonly message: number;
  /** The name at the time the fixture was written, for readers only; it is not compared. */
  readonly wasNamed: string;
  readonly hex: string;
  /** The binary form with every field set, where later builds added fields to the message. */
  readonly grownHex?: string;
  readonly fields: FieldValues;
}

/** Sample values are above this one, so that integers take more than one byte. */
const FIRST_VALUE = 300;

/** Number of the frame's field for the protocol version; frames of another version are rejected. */
const FRAME_WIRE_FIELD = 1;

/** Number of elements of each repeated field. */
const LIST_LENGTH = 2;

/** Generates a distinct value for each scalar field of a sample. */
class DistinctValues {
  #last = FIRST_VALUE;

  next(type: ScalarType): unknown {
    this.#last += 1;
    switch (type) {
      case ScalarType.STRING:
        return `text ${this.#last}`;
      case ScalarType.BYTES:
        return new Uint8Array([0, this.#last >> 8, this.#last & 255]);
      case ScalarType.BOOL:
        return true;
      case ScalarType.DOUBLE:
        return this.#last + 0.25;
      default:
        return this.#last;
    }
  }
}

/** The field that is set in each oneof of a message and of its nested messages. */
type Choices = ReadonlyMap<DescMessage, DescField>;

function fill(message: DescMessage, choices: Choices, values: DistinctValues): ReflectMessage {
  const filled = reflect(message);
  for (const field of message.fields) {
    if (field.oneof !== undefined && choices.get(message) !== field) continue;
    setField(filled, field, choices, values);
  }
  const wire = message === FrameSchema ? message.fields.find(isWireField) : undefined;
  if (wire !== undefined) filled.set(wire, WIRE_VERSION);
  return filled;
}

function isWireField({ number }: DescField): boolean {
  return number === FRAME_WIRE_FIELD;
}

function setField(filled: ReflectMessage, field: DescField, choices: Choices, values: DistinctValues): void {
  if (field.fieldKind === 'list') {
    const list = filled.get(field);
    for (let element = 0; element < LIST_LENGTH; element += 1) {
      if (field.listKind === 'message') list.add(fill(field.message, choices, values));
      else if (field.listKind === 'scalar') list.add(values.next(field.scalar));
    }
  } else if (field.fieldKind === 'message') filled.set(field, fill(field.message, choices, values));
  else if (field.fieldKind === 'scalar') filled.set(field, values.next(field.scalar));
}

/** All combinations of oneof cases of a message and of the nested messages that these cases hold. */
function allChoices(message: DescMessage): Choices[] {
  const cases = message.oneofs.flatMap((oneof) => oneof.fields);
  if (cases.length === 0) return [new Map()];
  return cases.flatMap((field) =>
    (field.fieldKind === 'message' ? allChoices(field.message) : [new Map()]).map(
      (inside) => new Map([...inside, [message, field]]),
    ),
  );
}

/** Samples of every message of the schema: one for each case of its oneofs, nested ones included. */
export function messageSamples(): MessageSample[] {
  return MESSAGES.flatMap((message, position) =>
    allChoices(message).map((choices) => {
      const sample = fill(message, choices, new DistinctValues()).message;
      return {
        message: position,
        wasNamed: [message.name, ...[...choices.values()].map((field) => field.name).reverse()].join('.'),
        hex: Buffer.from(toBinary(message, sample)).toString('hex'),
        fields: fieldValues(message, sample),
      };
    }),
  );
}

/** The values of a message by field number, with bytes as hex; throws an error on unknown fields. */
export function fieldValues(descriptor: DescMessage, message: Message): FieldValues {
  const read = reflect(descriptor, message);
  if (message.$unknown !== undefined && message.$unknown.length > 0)
    throw new Error(`fields ${message.$unknown.map(({ no }) => no).join(', ')} are unknown`);
  return Object.fromEntries(
    descriptor.fields
      .filter((field) => read.isSet(field))
      .map((field) => [field.number, plainValue(field, read.get(field))]),
  );
}

function plainValue(field: DescField, value: unknown): unknown {
  if (field.fieldKind === 'list')
    return [...(value as ReflectList)].map((element) =>
      field.listKind === 'message' ? nestedValues(element) : plainScalar(element),
    );
  return field.fieldKind === 'message' ? nestedValues(value) : plainScalar(value);
}

function nestedValues(value: unknown): FieldValues {
  const nested = value as ReflectMessage;
  return fieldValues(nested.desc, nested.message);
}

function plainScalar(value: unknown): unknown {
  return value instanceof Uint8Array ? Buffer.from(value).toString('hex') : value;
}

/** Decodes the binary form of the message at this position of the schema. */
export function decodeAt(position: number, hex: string): Message {
  return fromBinary(descriptorAt(position), Buffer.from(hex, 'hex'));
}

/** Encodes the message at this position of the schema, as hex. */
export function encodeAt(position: number, message: Message): string {
  return Buffer.from(toBinary(descriptorAt(position), message)).toString('hex');
}

/** The descriptor of the message at this position of the schema. */
export function descriptorAt(position: number): DescMessage {
  const descriptor = MESSAGES[position];
  if (descriptor === undefined) throw new Error(`the schema has no message at position ${position}`);
  return descriptor;
}
