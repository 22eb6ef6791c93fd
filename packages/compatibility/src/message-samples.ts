/**
 * Sample messages with every field set to a value of its own, and messages
 * read back by field number. No message or field is called by its name here.
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

/** A message by field number; fields that are not set are left out. */
export interface FieldValues {
  readonly [number: number]: unknown;
}

/** One message in its binary form, with what it says. */
export interface MessageSample {
  /** Position of the message in the schema. */
  readonly message: number;
  /** The name when the fixture was written: for readers only, it is not compared. */
  readonly wasNamed: string;
  readonly hex: string;
  /** What a message with every field set is now, where later builds added fields. */
  readonly grownHex?: string;
  readonly fields: FieldValues;
}

/** Values of samples begin here, so that integers take more than one byte. */
const FIRST_VALUE = 300;

/** Number of the field of a frame with the version of the protocol; a frame of another version is not taken. */
const FRAME_WIRE_FIELD = 1;

/** Elements of each repeated field. */
const LIST_LENGTH = 2;

/** Gives each scalar field of a sample another value. */
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

/** The field chosen in each one-of of a message and of the messages inside it. */
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

/** Every way to choose in the one-ofs of a message and of the chosen messages inside it. */
function allChoices(message: DescMessage): Choices[] {
  const cases = message.oneofs.flatMap((oneof) => oneof.fields);
  if (cases.length === 0) return [new Map()];
  return cases.flatMap((field) =>
    (field.fieldKind === 'message' ? allChoices(field.message) : [new Map()]).map(
      (inside) => new Map([...inside, [message, field]]),
    ),
  );
}

/** Samples of every message of the schema: one for each case of its one-ofs, of the inner ones too. */
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

/** What a message says, by field number; bytes stand as hex. */
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

/** Reads the binary form of the message at this position of the schema. */
export function decodeAt(position: number, hex: string): Message {
  return fromBinary(descriptorAt(position), Buffer.from(hex, 'hex'));
}

/** Writes the message at this position of the schema in its binary form. */
export function encodeAt(position: number, message: Message): string {
  return Buffer.from(toBinary(descriptorAt(position), message)).toString('hex');
}

/** The descriptor of the message at this position of the schema. */
export function descriptorAt(position: number): DescMessage {
  const descriptor = MESSAGES[position];
  if (descriptor === undefined) throw new Error(`the schema has no message at position ${position}`);
  return descriptor;
}
