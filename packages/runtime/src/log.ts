/** The logging interface of the platform's nodes. */
/** A structured log; a pino logger satisfies this interface. */
export interface Log {
  debug(data: object, message: string): void;
  info(data: object, message: string): void;
  warn(data: object, message: string): void;
  error(data: object, message: string): void;
}
