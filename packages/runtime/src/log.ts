/** The log as the platform's nodes see it. */
/** What nodes log through; pino has this shape. */
export interface Log {
  debug(data: object, text: string): void;
  info(data: object, text: string): void;
  warn(data: object, text: string): void;
  error(data: object, text: string): void;
}
