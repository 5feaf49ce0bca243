/** The contract of the platform's object store. */
import type { Result } from "neverthrow";
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";
import type { RouterError } from "../types/errors.ts";

/** Stores immutable blobs by name. */
export abstract class ObjectStore extends Service {
  override readonly name = ServiceName.ObjectStore;

  /** Reads an object; undefined if it does not exist. */
  abstract getObject(
    name: string,
  ): Promise<Result<string | undefined, RouterError>>;

  /** Writes an object. Idempotent for the same content. */
  abstract putObject(
    name: string,
    content: string,
  ): Promise<Result<void, RouterError>>;
}
