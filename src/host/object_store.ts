/** The platform's object store, as services see it. */
import type { Result } from "neverthrow";
import { Service } from "../kernel/service.ts";
import { ServiceName } from "../kernel/service_name.ts";
import type { RouterError } from "../types/errors.ts";

/** Named immutable blobs. */
export abstract class ObjectStore extends Service {
  override readonly name = ServiceName.ObjectStore;

  /** Reads an object; undefined when there is none. */
  abstract getObject(
    name: string,
  ): Promise<Result<string | undefined, RouterError>>;

  /** Writes an object; writing the same content twice has no further effect. */
  abstract putObject(
    name: string,
    content: string,
  ): Promise<Result<void, RouterError>>;
}
