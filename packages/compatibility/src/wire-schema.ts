/**
 * The protobuf schema without names: the number, type and label of every field,
 * by the position of its message in the file. Names of messages and fields are
 * not part of the binary form and may change; numbers, types and labels may not.
 */
import { ScalarType, type DescField, type DescMessage } from '@bufbuild/protobuf';
import { FeatureSet_FieldPresence } from '@bufbuild/protobuf/wkt';
import { file_rainrun } from '@rainrun/messages';

/** Every message of the schema, in the order of the file. */
export const MESSAGES: readonly DescMessage[] = file_rainrun.messages;

/** One message of the schema. */
export interface MessageShape {
  /** The name at the time the fixture was written, for readers only; it is not compared. */
  readonly wasNamed: string;
  /** `number:type:label` of each field. */
  readonly fields: readonly string[];
}

function messageType(message: DescMessage): string {
  return `message ${MESSAGES.indexOf(message)}`;
}

function typeOf(field: DescField): string {
  switch (field.fieldKind) {
    case 'scalar':
      return ScalarType[field.scalar];
    case 'message':
      return messageType(field.message);
    case 'list':
      if (field.listKind === 'scalar') return ScalarType[field.scalar];
      return field.listKind === 'message' ? messageType(field.message) : 'ENUM';
    case 'enum':
      return 'ENUM';
    case 'map':
      return 'MAP';
  }
}

function labelOf(field: DescField): string {
  if (field.fieldKind === 'list') return field.packed ? 'repeated packed' : 'repeated';
  if (field.oneof !== undefined) return `oneof ${field.parent.oneofs.indexOf(field.oneof)}`;
  if (field.fieldKind === 'scalar' && field.presence === FeatureSet_FieldPresence.EXPLICIT) return 'optional';
  return 'singular';
}

/** The shape of every message of the schema, in the order of the file. */
export function schemaShape(): MessageShape[] {
  return MESSAGES.map((message) => ({
    wasNamed: message.name,
    fields: [...message.fields]
      .sort((left, right) => left.number - right.number)
      .map((field) => `${field.number}:${typeOf(field)}:${labelOf(field)}`),
  }));
}
