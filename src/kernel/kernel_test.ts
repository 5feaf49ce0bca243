import * as assert from "uvu/assert";
import { describe, it } from "../testing/describe.ts";
import { Kernel } from "./kernel.ts";
import { Service } from "./service.ts";
import { ServiceName } from "./service_name.ts";

class RecordingService extends Service {
  constructor(
    readonly name: ServiceName,
    readonly journal: string[],
    readonly options: { dependencies?: ServiceName[]; failsToStart?: boolean } =
      {},
  ) {
    super();
  }

  override get dependencies(): readonly ServiceName[] {
    return this.options.dependencies ?? [];
  }

  override start(): Promise<void> {
    if (this.options.failsToStart) return Promise.reject(new Error("broken"));
    this.journal.push(`start ${this.name}`);
    return Promise.resolve();
  }

  override drain(): Promise<void> {
    this.journal.push(`drain ${this.name}`);
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.journal.push(`stop ${this.name}`);
    return Promise.resolve();
  }
}

describe("Kernel", () => {
  describe("start order", () => {
    it("starts dependencies first, drains all services, then stops in reverse order", async () => {
      const journal: string[] = [];
      const kernel = new Kernel()
        .register(
          new RecordingService(ServiceName.Entry, journal, {
            dependencies: [ServiceName.Clock],
          }),
        )
        .register(new RecordingService(ServiceName.Clock, journal));
      await kernel.start();
      await kernel.stop();
      assert.equal(journal, [
        "start clock",
        "start entry",
        "drain entry",
        "drain clock",
        "stop entry",
        "stop clock",
      ]);
    });

    it("rejects a dependency cycle", async () => {
      const kernel = new Kernel()
        .register(
          new RecordingService(ServiceName.Entry, [], {
            dependencies: [ServiceName.Clock],
          }),
        )
        .register(
          new RecordingService(ServiceName.Clock, [], {
            dependencies: [ServiceName.Entry],
          }),
        );
      await assertRejects(kernel.start(), "SR1003");
    });

    it("stops the running services when another fails to start", async () => {
      const journal: string[] = [];
      const kernel = new Kernel()
        .register(new RecordingService(ServiceName.Clock, journal))
        .register(
          new RecordingService(ServiceName.Entry, journal, {
            failsToStart: true,
          }),
        );
      await assertRejects(kernel.start(), "broken");
      assert.equal(journal, ["start clock", "drain clock", "stop clock"]);
    });
  });

  describe("registration and look-up", () => {
    it("names the missing service in the error", () => {
      assert.throws(() => new Kernel().get(ServiceName.Home), /home/);
    });

    it("rejects a second service with the same name", () => {
      const kernel = new Kernel()
        .register(new RecordingService(ServiceName.Clock, []));
      assert.throws(
        () => kernel.register(new RecordingService(ServiceName.Clock, [])),
        /SR1002/,
      );
    });
  });
});

async function assertRejects(
  promise: Promise<unknown>,
  text: string,
): Promise<void> {
  try {
    await promise;
  } catch (error) {
    assert.match(String(error), text);
    return;
  }
  assert.unreachable("the promise should have rejected");
}
