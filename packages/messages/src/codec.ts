/** Encodes and decodes frames between nodes; rejects frames of another wire version or deployment. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { describeError, fault, type Fault } from '@rainrun/common';
import { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';
import { FrameSchema, type Frame } from './gen/rainrun_pb.js';

/** Version of the frames on the wire; frames of another version are rejected. */
export const WIRE_VERSION = 1;

/** Range of protocol levels that a program supports, both ends inclusive. */
export interface ProtocolLevels {
  readonly min: number;
  readonly max: number;
}

/** Levels that this build supports: its own and the one before, so that a rolling upgrade can mix the two. */
export const PROTOCOL_LEVELS: ProtocolLevels = { min: 1, max: 2 };

/** Largest frame that is decoded, in bytes. */
export const FRAME_MAX_BYTES = 8 * 1024 * 1024;

/** Deployment, sender and addressee of a frame. */
export interface FrameRoute {
  readonly deployment: string;
  /** Incarnation of the sender. */
  readonly from: string;
  /** Incarnation of the addressee; empty if any incarnation at the address may take the frame. */
  readonly to: string;
}

/**
 * Creates a frame of this build's wire version.
 * @example
 * send(address, newFrame({ deployment, from: self.incarnation, to: '' }, { case: 'subscribe', value }));
 */
export function newFrame({ deployment, from, to }: FrameRoute, body: Frame['body']): Frame {
  const frame = create(FrameSchema, { wire: WIRE_VERSION, deployment, from, to });
  frame.body = body;
  return frame;
}

/**
 * Encodes a frame.
 * @example
 * const bytes = encodeFrame(newFrame(route, body));
 */
export function encodeFrame(frame: Frame): Uint8Array {
  return toBinary(FrameSchema, frame);
}

/**
 * Decodes a frame; the error is `wire` if it is malformed and `foreign` if it belongs to another deployment.
 * @example
 * decodeFrame(new Uint8Array([255]), 'd').isErr; // true
 */
export function decodeFrame(bytes: Uint8Array, deployment: string): Result<Frame, Fault> {
  if (bytes.length > FRAME_MAX_BYTES)
    return Result.err(fault('wire', `frame of ${bytes.length} bytes is too large`));
  const read = tryOrElse(
    (thrown) => fault('wire', describeError(thrown), { cause: thrown }),
    () => fromBinary(FrameSchema, bytes),
  );
  if (read.isErr) return read;
  const frame = read.value;
  if (frame.wire !== WIRE_VERSION)
    return Result.err(fault('wire', `wire version ${frame.wire}, expected ${WIRE_VERSION}`));
  if (frame.deployment !== deployment) {
    return Result.err(fault('foreign', `frame belongs to another deployment, "${frame.deployment}"`));
  }
  if (frame.from === '' || frame.body.case === undefined)
    return Result.err(fault('wire', 'frame has no sender or no body'));
  return Result.ok(frame);
}
