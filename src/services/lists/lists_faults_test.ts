import fc from "fast-check";
import * as assert from "uvu/assert";
import { ServiceName } from "../../kernel/service_name.ts";
import { describe, it } from "../../testing/describe.ts";
import {
  settleWithin,
  type TestDaemon,
  TestFleet,
} from "../../testing/test_fleet.ts";
import { createListTexts } from "../../testing/test_lists.ts";
import { AttemptOutcome } from "../../types/enums.ts";

/** The steps of which random schedules are made. */
enum Step {
  Apply = "apply",
  ApplyOnStaleBase = "apply-on-stale-base",
  Freeze = "freeze",
  Thaw = "thaw",
  PlatformDown = "platform-down",
  PlatformUp = "platform-up",
  LoseAnswers = "lose-answers",
  CutOff = "cut-off",
  Restart = "restart",
}

interface ScheduledStep {
  readonly step: Step;
  readonly daemonIndex: number;
  readonly pauseMs: number;
}

/** One call of `apply`, under an author of its own. */
interface Attempt {
  readonly author: string;
  /** Undefined until the call has returned. */
  isAccepted: boolean | undefined;
  isUnknown: boolean;
}

const healthyPlatform = {
  isDown: false,
  delayMs: 0,
  losesWriteAnswers: false,
};

const scheduleArbitrary = fc.array(
  fc.record({
    step: fc.constantFrom(...Object.values(Step)),
    daemonIndex: fc.nat({ max: 3 }),
    pauseMs: fc.nat({ max: 2_500 }),
  }),
  { minLength: 8, maxLength: 24 },
);

/** Runs one schedule on a fleet and checks the versions in force after each step. */
class ScheduleRun {
  readonly fleet: TestFleet;
  readonly attempts: Attempt[] = [];
  readonly #highestVersions = new Map<string, number>();

  constructor(seed: number) {
    this.fleet = new TestFleet({ seed, daemonCount: 4, serverCount: 1 });
  }

  async run(schedule: readonly ScheduledStep[]): Promise<void> {
    await this.fleet.start();
    for (const scheduled of schedule) {
      await this.#execute(scheduled);
      await this.fleet.clock.advance(scheduled.pauseMs);
      this.#checkVersionsNeverDecrease();
    }
    await this.#endFaults();
    this.#checkVersionsNeverDecrease();
  }

  async #execute({ step, daemonIndex }: ScheduledStep): Promise<void> {
    const { fleet } = this;
    const { platform } = fleet;
    const daemon = fleet.daemons[daemonIndex]!;
    switch (step) {
      case Step.Apply:
        return this.#apply(daemon, 0);
      case Step.ApplyOnStaleBase:
        return this.#apply(daemon, 1);
      case Step.Freeze:
        return daemon.clock.freeze();
      case Step.Thaw:
        return daemon.clock.thaw();
      case Step.PlatformDown:
        platform.fault = { ...platform.fault, isDown: true };
        return;
      case Step.PlatformUp:
        platform.fault = healthyPlatform;
        return;
      case Step.LoseAnswers:
        platform.fault = { ...platform.fault, losesWriteAnswers: true };
        return;
      case Step.CutOff:
        platform.cutOff.add(daemon.daemonId);
        return;
      case Step.Restart:
        fleet.kill(daemon);
        fleet.removeVm(daemon.daemonId);
        await fleet.addDaemon();
        return;
    }
  }

  #apply(daemon: TestDaemon, baseVersionLag: number): void {
    const lists = daemon.kernel.get(ServiceName.Lists);
    const attempt: Attempt = {
      author: `author-${this.attempts.length}`,
      isAccepted: undefined,
      isUnknown: false,
    };
    this.attempts.push(attempt);
    const baseVersion = (lists.current()?.version ?? 0) - baseVersionLag;
    const texts = createListTexts({
      sustainedCount: 500 + this.attempts.length,
    });
    lists.apply(texts, {
      baseVersion,
      author: attempt.author,
    }).then((result) => {
      attempt.isAccepted = result.isOk();
      attempt.isUnknown = result.isErr() &&
        result.error.outcome === AttemptOutcome.Unknown;
    });
  }

  #checkVersionsNeverDecrease(): void {
    for (const { daemonId, kernel } of this.fleet.daemons) {
      const version = kernel.get(ServiceName.Lists).current()?.version ?? 0;
      const highest = this.#highestVersions.get(daemonId) ?? 0;
      assert.ok(version >= highest, `${daemonId}: ${highest} to ${version}`);
      this.#highestVersions.set(daemonId, version);
    }
  }

  async #endFaults(): Promise<void> {
    const { fleet } = this;
    fleet.platform.fault = healthyPlatform;
    fleet.platform.cutOff.clear();
    for (const { clock } of fleet.daemons) clock.thaw();
    await fleet.clock.advance(15_000);
  }

  /** Checks that every daemon has the version of the row in force, and that the row has each accepted change once. */
  async checkOutcome(): Promise<void> {
    const { fleet } = this;
    const [first] = fleet.daemons;
    const revisions = await settleWithin(
      fleet.clock,
      first!.kernel.get(ServiceName.Lists).revisions(),
      2_000,
    );
    const accepted = revisions._unsafeUnwrap();
    const authors = accepted.map(({ author }) => author);
    assert.is(new Set(authors).size, authors.length, "applied twice");
    assert.equal(
      accepted.map(({ version }) => version),
      authors.map((_, index) => authors.length - index),
    );
    for (const { author, isAccepted, isUnknown } of this.attempts) {
      if (isAccepted === undefined || isUnknown) continue;
      assert.is(authors.includes(author), isAccepted, author);
    }
    for (const { daemonId, kernel } of fleet.daemons) {
      const lists = kernel.get(ServiceName.Lists);
      const version = lists.current()?.version ?? 0;
      assert.is(version, authors.length, daemonId);
    }
    await fleet.stop();
  }
}

describe("StoredLists under random faults", () => {
  it("never decreases a version, applies each change once, and converges on the row", async () => {
    await fc.assert(
      fc.asyncProperty(
        scheduleArbitrary,
        fc.nat({ max: 1_000 }),
        async (schedule, seed) => {
          const run = new ScheduleRun(seed);
          await run.run(schedule);
          await run.checkOutcome();
        },
      ),
      { seed: 20_261, numRuns: 40 },
    );
  });
});
