import * as assert from "uvu/assert";
import { describe, it } from "../testing/describe.ts";
import { environmentName, parseSettings } from "./settings.ts";
import { settingNames } from "./settings_schema.ts";
import { createSettingsHelp } from "./settings_text.ts";

const secret = "a-secret-of-the-fleet";
const validSettings = {
  daemonId: "daemon-1",
  dataCentre: "dc-a",
  entryAddress: "127.0.0.1:8080",
  peerAddress: "127.0.0.1:8081",
  platformAddress: "127.0.0.1:9000",
  peerSecret: secret,
  services: "[{name: roster, requestClass: live-read, fencingMode: checked}]",
};

interface InvalidSettingCase {
  readonly title: string;
  readonly settings: Partial<
    Record<keyof typeof validSettings | string, string>
  >;
  readonly line: string;
}

const invalidSettings: readonly InvalidSettingCase[] = [
  {
    title: "an address without a port",
    settings: { entryAddress: "localhost" },
    line: '--entry-address (SKYLARKRIDGE_ENTRY_ADDRESS) is "localhost"; ' +
      "allowed: host:port with a port up to 65535",
  },
  {
    title: "a port that is too high",
    settings: { entryAddress: "localhost:70000" },
    line: '--entry-address (SKYLARKRIDGE_ENTRY_ADDRESS) is "localhost:70000"' +
      "; allowed: host:port with a port up to 65535",
  },
  {
    title: "a duration that has a unit",
    settings: { vmPollIntervalMs: "1s" },
    line: '--vm-poll-interval-ms (SKYLARKRIDGE_VM_POLL_INTERVAL_MS) is "1s"' +
      "; allowed: an integer from 50 to 3600000 ms",
  },
  {
    title: "an empty number",
    settings: { drainNoticeMs: "" },
    line: '--drain-notice-ms (SKYLARKRIDGE_DRAIN_NOTICE_MS) is ""; ' +
      "allowed: an integer from 0 to 3600000 ms",
  },
  {
    title: "a secret that is too short, without showing it",
    settings: { peerSecret: "hunter2" },
    line: "--peer-secret (SKYLARKRIDGE_PEER_SECRET) is hidden; " +
      "allowed: at least 16 characters",
  },
  {
    title: "a service with an unknown request class",
    settings: {
      services: "[{name: a, requestClass: fast, fencingMode: checked}]",
    },
    line: "0.requestClass: Invalid option: expected one of " +
      '"confirmation"|"live-read"|"archive"',
  },
  {
    title: "two services with the same name",
    settings: {
      services: "[{name: a, requestClass: archive, fencingMode: checked}," +
        "{name: a, requestClass: archive, fencingMode: checked}]",
    },
    line: "services: two services have the same name",
  },
  {
    title: "a permit duration shorter than three sync intervals",
    settings: { permitDurationMs: "800", ownershipIntervalMs: "300" },
    line: '--permit-duration-ms (SKYLARKRIDGE_PERMIT_DURATION_MS) is "800"; ' +
      "allowed: at least 900 ms, 3 times --ownership-interval-ms",
  },
  {
    title: "an unset default deadline whose default exceeds the maximum",
    settings: { maxDeadlineMs: "5000" },
    line: "--default-deadline-ms (SKYLARKRIDGE_DEFAULT_DEADLINE_MS) is " +
      '"10000"; allowed: at most 5000 ms, the value of --max-deadline-ms',
  },
  {
    title: "the same address for both listeners",
    settings: { peerAddress: "127.0.0.1:8080" },
    line: '--peer-address (SKYLARKRIDGE_PEER_ADDRESS) is "127.0.0.1:8080"; ' +
      "allowed: an address other than --entry-address",
  },
];

describe("settings", () => {
  describe("parseSettings", () => {
    it("accepts valid settings and adds the defaults", () => {
      const settings = parseSettings(validSettings, {})._unsafeUnwrap();
      assert.is(settings.permitDurationMs, 1_800);
      assert.is(settings.services[0]?.shardCount, 256);
    });

    it("prefers a flag to its variable", () => {
      const settings = parseSettings(
        { ...validSettings, daemonId: "from-flag" },
        { SKYLARKRIDGE_DAEMON_ID: "from-variable" },
      );
      assert.is(settings._unsafeUnwrap().daemonId, "from-flag");
    });

    for (const { title, settings, line } of invalidSettings) {
      it(`rejects ${title}`, () => {
        const error = parseSettings({ ...validSettings, ...settings }, {})
          ._unsafeUnwrapErr();
        assert.ok(error.message.includes(line), error.message);
        assert.is(error.message.split("\n").length, 1);
        assert.not.match(error.message, /hunter2/);
        assert.not.match(error.message, secret);
      });
    }

    it("reports every invalid setting in a line of its own", () => {
      const error = parseSettings({}, {})._unsafeUnwrapErr();
      assert.is(error.message.split("\n").length, 7);
      for (const name of Object.keys(validSettings)) {
        assert.ok(error.message.includes(environmentName(name)));
      }
    });

    it("rejects an unknown variable and suggests the nearest name", () => {
      const error = parseSettings(validSettings, {
        SKYLARKRIDGE_PERMIT_DURATON_MS: "900",
      })._unsafeUnwrapErr();
      assert.match(
        error.message,
        /did you mean SKYLARKRIDGE_PERMIT_DURATION_MS/,
      );
    });
  });

  describe("createSettingsHelp", () => {
    it("lists every setting", () => {
      const help = createSettingsHelp();
      for (const name of settingNames) {
        assert.ok(help.includes(environmentName(name)));
      }
    });
  });
});
