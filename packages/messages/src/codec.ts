/** Frames between nodes as bytes, and which versions and deployments are understood. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { describeError, fault, type Fault } from '@rainrun/common';
import { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';
import { FrameSchema, type Frame } from './gen/rainrun_pb.js';

/** Version of the frames on the wire; nodes of another version are not understood. */
export const WIRE_VERSION = 1;

/** Levels of the protocol that a program speaks, both inclusive. */
export interface ProtocolLevels {
  readonly min: number;
  readonly max: number;
}

/** What this build speaks: its own level and the one before, so that neighbours can be rolled out. */
export const PROTOCOL_LEVELS: ProtocolLevels = { min: 1, max: 2 };

/** No frame is larger. */
export const FRAME_MAX_BYTES = 8 * 1024 * 1024;

/** Who a frame is from and for. */
export interface FrameRoute {
  readonly deployment: string;
  /** Incarnation of the sender. */
  readonly from: string;
  /** Incarnation of the addressee; empty: anybody at the address. */
  readonly to: string;
}

/**
 * A frame of this build's version.
 * @example
 * send(address, newFrame({ deployment, from: self.incarnation, to: '' }, { case: 'subscribe', value }));
 */
export function newFrame({ deployment, from, to }: FrameRoute, body: Frame['body']): Frame {
  const frame = create(FrameSchema, { wire: WIRE_VERSION, deployment, from, to });
  frame.body = body;
  return frame;
}

/**
 * A frame as bytes.
 * @example
 * const bytes = encodeFrame(newFrame(route, body));
 */
export function encodeFrame(frame: Frame): Uint8Array {
  return toBinary(FrameSchema, frame);
}

/**
 * Bytes as a frame of this deployment, or why not.
 * @example
 * decodeFrame(new Uint8Array([255]), 'd').isErr; // true
 */
export function decodeFrame(bytes: Uint8Array, deployment: string): Result<Frame, Fault> {
  if (bytes.length > FRAME_MAX_BYTES) return Result.err(fault('wire', `frame of ${bytes.length} bytes`));
  const read = tryOrElse(
    (thrown) => fault('wire', describeError(thrown), { cause: thrown }),
    () => fromBinary(FrameSchema, bytes),
  );
  if (read.isErr) return read;
  const frame = read.value;
  if (frame.wire !== WIRE_VERSION)
    return Result.err(fault('wire', `wire version ${frame.wire}, expected ${WIRE_VERSION}`));
  if (frame.deployment !== deployment) {
    return Result.err(fault('foreign', `frame of deployment "${frame.deployment}"`));
  }
  if (frame.from === '' || frame.body.case === undefined)
    return Result.err(fault('wire', 'frame without sender or body'));
  return Result.ok(frame);
}
