/**
 * One run of the soak: starts a fleet of daemon processes, carries out a plan
 * under load, ends all faults, waits for recovery, and reports the guarantees
 * that were violated according to callers and backend servers.
 */
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import {
  CallerStandin,
  isSuccess,
} from "../../../standins/fleet/caller_standin.ts";
import { ServerFault } from "../../../standins/fleet/key_server_standin.ts";
import { SmallService } from "../../../standins/fleet/small_configuration.ts";
import { assertNever } from "../../types/errors.ts";
import { findGuaranteeViolations } from "./guarantee_checker.ts";
import { ConfigurationProbe } from "./configuration_probe.ts";
import { LinkFault, type LoopbackProxy } from "./loopback_proxy.ts";
import { callerTimeoutMs, SoakCallers } from "./soak_callers.ts";
import { type SoakDaemon, SoakDaemons } from "./soak_daemons.ts";
import {
  pickByFraction,
  SoakEvent,
  type SoakPlan,
  type SoakStep,
} from "./soak_plan.ts";
import {
  dataCentres,
  type SoakServer,
  SoakServers,
  watchedKeys,
} from "./soak_servers.ts";

const daemonCount = 3;
const serverCountByService = [[SmallService.Roster, 4], [
  SmallService.Pay,
  3,
]] as const;
/** A run never stops so many servers that a service has fewer than this. */
const minServerCount = 2;
const startTimeoutMs = 20_000;
/** Maximum time after the last event until every daemon serves every watched key. */
const recoveryTimeoutMs = 15_000;
const recoveryPollIntervalMs = 250;
/** Time for late requests and key commands of the run to reach the servers. */
const settleDurationMs = 1_000;
/** Maximum time from an evacuation's write to the store until no daemon uses the data centre, without faults. */
const maxEvacuationDelayMs = 2_000;
const slowStoreDelayMs = 250;
/** Fraction of the servers that restart which keep their address. */
const restartInPlaceFraction = 0.5;
/** A server that restarts registers later than it accepts commands. */
const maxRegistrationDelayMs = 2_500;
/** Age of the copies from which the store comes back, and how long others wait before they write again. */
const maxCopyAgeMs = 5_000;
const maxRewriteDelayMs = 1_500;
/** The time after its return in which calls to the store are counted. */
const setBackCostMs = 5_000;
const lostAnswerFraction = 0.4;
const linkDelayMs = { min: 20, max: 700 };
const linkFaults = [
  LinkFault.Delayed,
  LinkFault.Closed,
  LinkFault.OneWay,
  LinkFault.Silent,
];
/** A link ends a connection that was reset in an orderly way, which completes an answer without a length. */
const unusedServerFaults: ReadonlySet<ServerFault> = new Set([
  ServerFault.None,
  ServerFault.BreaksOffWithoutLength,
]);
const serverFaults = Object.values(ServerFault)
  .filter((fault) => !unusedServerFaults.has(fault));
/** Statuses of servers that fail requests: callers take four of them as "not run", and two are none of HTTP's. */
const failureStatuses = [500, 408, 421, 429, 503, 0, 999];

/** The result of one run. */
export interface SoakReport {
  readonly plan: SoakPlan;
  readonly requestCount: number;
  readonly servedCount: number;
  readonly violations: readonly string[];
  /** Time from the end of the last event until every daemon served every watched key. */
  readonly recoveryMs: number;
  /** Calls to the store in the first five seconds after each time that it came back from an older copy. */
  readonly setBackCallCounts: readonly number[];
}

/** Carries out a plan. Settings and logs go to a subfolder of `folder` for the seed. */
export async function runSoak(
  plan: SoakPlan,
  options: { readonly folder: string },
): Promise<SoakReport> {
  const servers = new SoakServers();
  const daemons = new SoakDaemons({
    folder: join(options.folder, `seed-${plan.seed}`),
    storePort: await servers.start(),
  });
  try {
    return await new SoakRun(plan, { servers, daemons }).run();
  } finally {
    await daemons.end();
    servers.stop();
  }
}

class SoakRun {
  readonly #plan: SoakPlan;
  readonly #servers: SoakServers;
  readonly #daemons: SoakDaemons;
  readonly #violations: string[] = [];
  readonly #configurationProbe: ConfigurationProbe;
  readonly #evacuated = new Set<string>();
  readonly #setBackCallCounts: number[] = [];

  constructor(
    plan: SoakPlan,
    fleet: { readonly servers: SoakServers; readonly daemons: SoakDaemons },
  ) {
    const { servers, daemons } = fleet;
    this.#plan = plan;
    this.#servers = servers;
    this.#daemons = daemons;
    this.#configurationProbe = new ConfigurationProbe(
      daemons,
      (version, prefixes) =>
        servers.store.writeConfiguration(version, prefixes),
    );
  }

  async run(): Promise<SoakReport> {
    await this.#start();
    const callers = new SoakCallers(this.#daemons.daemons, this.#plan.seed);
    callers.start();
    this.#servers.beginRun();
    await this.#runSteps();
    const endedAtMs = performance.now();
    await this.#checkRecovery();
    const recoveryMs = performance.now() - endedAtMs;
    await callers.stop();
    await delay(settleDurationMs);
    const { records } = callers;
    const violations = [
      ...this.#violations,
      ...this.#daemons.violations,
      ...this.#servers.monitor.violations,
      ...this.#servers.violations,
      ...this.#configurationProbe.violations,
      ...findGuaranteeViolations({
        records: [...records, ...this.#configurationProbe.records],
        executions: this.#servers.executions,
        isPlannedOnly: this.#plan.isPlannedOnly,
      }),
    ];
    return {
      plan: this.#plan,
      requestCount: records.length,
      servedCount: records.filter(isSuccess).length,
      violations,
      recoveryMs,
      setBackCallCounts: this.#setBackCallCounts,
    };
  }

  async #start(): Promise<void> {
    this.#configurationProbe.writeNextVersion();
    for (const [service, count] of serverCountByService) {
      for (let i = 0; i < count; i++) await this.#servers.addServer(service);
    }
    for (let i = 0; i < daemonCount; i++) await this.#daemons.add();
    for (const daemon of this.#daemons.daemons) {
      if (await this.#daemons.waitUntilReady(daemon, startTimeoutMs)) continue;
      throw new Error(
        `daemon ${daemon.index} did not become ready within ${startTimeoutMs} ms ${
          this.#daemons.violations.join(", ")
        }`,
      );
    }
  }

  /** Carries out all steps, which may overlap. */
  async #runSteps(): Promise<void> {
    const startedAtMs = performance.now();
    const running: Promise<void>[] = [];
    for (const step of this.#plan.steps) {
      const waitMs = startedAtMs + step.startsAtMs - performance.now();
      if (waitMs > 0) await delay(waitMs);
      running.push(this.#runStep(step));
    }
    await Promise.all(running);
  }

  async #runStep(step: SoakStep): Promise<void> {
    const { event, targetFraction, durationMs, variantFraction } = step;
    const { store } = this.#servers;
    const daemon = pickByFraction(this.#daemons.daemons, targetFraction);
    switch (event) {
      case SoakEvent.DaemonPaused:
        return await this.#daemons.pause(daemon, durationMs);
      case SoakEvent.DaemonKilled:
        return this.#daemons.kill(daemon);
      case SoakEvent.AllDaemonsKilled:
        return this.#daemons.daemons.forEach((d) => this.#daemons.kill(d));
      case SoakEvent.DaemonStopped:
        return await this.#daemons.stop(daemon);
      case SoakEvent.DaemonReloaded:
        return this.#daemons.reload(daemon);
      case SoakEvent.StoreDown:
        return await this.#injectStoreFault(step, { isDown: true });
      case SoakEvent.StoreSlow:
        return await this.#injectStoreFault(step, {
          delayMs: slowStoreDelayMs,
        });
      case SoakEvent.StoreLosesAnswers:
        return await this.#injectStoreFault(step, {
          lostAnswerFraction,
        });
      case SoakEvent.StoreHistoryDiscarded:
        return store.rows.compact();
      case SoakEvent.StoreLinkFaulty:
        return await this.#injectDaemonLinkFault(step, {
          daemon,
          link: daemon.storeLink,
        });
      case SoakEvent.PeerLinkFaulty:
        return await this.#injectDaemonLinkFault(step, {
          daemon,
          link: daemon.peerLink,
        });
      case SoakEvent.ServerLinkFaulty:
        return await this.#injectLinkFault(step, this.#pickServer(step).link);
      case SoakEvent.ServerCrashed:
        return this.#removeServer(
          step,
          (server) => this.#servers.crash(server),
        );
      case SoakEvent.ServerRestarted:
        return await this.#servers.restart(this.#pickServer(step), {
          keepsAddress: variantFraction < restartInPlaceFraction,
          registrationDelayMs: maxRegistrationDelayMs * variantFraction,
        });
      case SoakEvent.ServerDrained:
        return this.#removeServer(
          step,
          (server) => this.#servers.drain(server),
        );
      case SoakEvent.ServerAdded:
        await this.#servers.addServer(this.#pickServer(step).entry.service);
        return;
      case SoakEvent.ServerFaulty: {
        const { standin } = this.#pickServer(step);
        standin.fault = pickByFraction(serverFaults, variantFraction);
        const remainder = (variantFraction * serverFaults.length) % 1;
        standin.failureStatus = pickByFraction(failureStatuses, remainder);
        await delay(durationMs);
        standin.fault = ServerFault.None;
        return;
      }
      case SoakEvent.ConfigurationChanged:
        return await this.#configurationProbe.writeNextVersionAndCheck();
      case SoakEvent.DataCentreEvacuated:
        return await this.#evacuate(step);
      case SoakEvent.StoreSetBack:
        return await this.#setStoreBack(step);
      default:
        assertNever(event);
    }
  }

  /** Evacuates a data centre; where only operators act, checks that its servers get nothing. */
  async #evacuate({ targetFraction, durationMs }: SoakStep): Promise<void> {
    const zone = pickByFraction(dataCentres, targetFraction);
    if (this.#evacuated.has(zone)) return;
    this.#evacuated.add(zone);
    this.#servers.store.evacuate(zone);
    await delay(maxEvacuationDelayMs);
    const arrivalCounts = new Map(
      this.#servers.servers.map((server) => [
        server,
        server.standin.arrivalCount,
      ]),
    );
    await delay(durationMs - maxEvacuationDelayMs);
    for (const server of this.#servers.servers) {
      if (server.entry.zone !== zone || !this.#plan.isPlannedOnly) continue;
      const count = server.standin.arrivalCount -
        (arrivalCounts.get(server) ?? 0);
      if (count === 0) continue;
      this.#violations.push(
        `server ${server.entry.id} got ${count} requests though ${zone} is evacuated`,
      );
    }
    this.#evacuated.delete(zone);
    this.#servers.store.endEvacuation(zone);
  }

  /** Takes a copy, and lets the store come back from it after it was away. */
  async #setStoreBack(
    { durationMs, targetFraction, variantFraction }: SoakStep,
  ): Promise<void> {
    const { store } = this.#servers;
    const copy = store.rows.takeCopy();
    await delay(maxCopyAgeMs * targetFraction);
    const rewriteDelayMs = maxRewriteDelayMs * variantFraction;
    this.#configurationProbe.recordStoreFault(durationMs + rewriteDelayMs);
    store.fault = { ...store.fault, isDown: true };
    await delay(durationMs);
    const rewrite = store.restore(copy);
    store.fault = { ...store.fault, isDown: false };
    const { callCount } = store;
    setTimeout(
      () => this.#setBackCallCounts.push(store.callCount - callCount),
      setBackCostMs,
    );
    await delay(rewriteDelayMs);
    rewrite();
    this.#servers.registerAgain();
    this.#configurationProbe.writeAgain();
  }

  #pickServer({ targetFraction }: SoakStep): SoakServer {
    return pickByFraction(this.#servers.running, targetFraction);
  }

  /** Removes a server, or adds a server if too few would be left. */
  #removeServer(step: SoakStep, remove: (server: SoakServer) => void): void {
    const server = this.#pickServer(step);
    const { service } = server.entry;
    const others = this.#servers.running.filter(({ entry }) =>
      entry.service === service && !entry.isDraining
    );
    if (others.length > minServerCount) return remove(server);
    void this.#servers.addServer(service);
  }

  async #injectStoreFault(
    { durationMs }: SoakStep,
    fault: Partial<SoakServers["store"]["fault"]>,
  ): Promise<void> {
    const { store } = this.#servers;
    this.#configurationProbe.recordStoreFault(durationMs);
    store.fault = {
      isDown: false,
      delayMs: 0,
      lostAnswerFraction: 0,
      ...fault,
    };
    await delay(durationMs);
    store.fault = { isDown: false, delayMs: 0, lostAnswerFraction: 0 };
  }

  async #injectDaemonLinkFault(
    step: SoakStep,
    { daemon, link }: {
      readonly daemon: SoakDaemon;
      readonly link: LoopbackProxy;
    },
  ): Promise<void> {
    daemon.lastDisturbedAtMs = Infinity;
    await this.#injectLinkFault(step, link);
    daemon.lastDisturbedAtMs = performance.now();
  }

  async #injectLinkFault(
    { durationMs, variantFraction }: SoakStep,
    link: LoopbackProxy,
  ): Promise<void> {
    const { min, max } = linkDelayMs;
    link.setFault(
      pickByFraction(linkFaults, variantFraction),
      min + (max - min) * variantFraction,
    );
    await delay(durationMs);
    link.setFault(LinkFault.None);
  }

  /** Checks that every daemon serves every watched key again. */
  async #checkRecovery(): Promise<void> {
    const deadlineAtMs = performance.now() + recoveryTimeoutMs;
    const violations = await Promise.all(
      this.#daemons.daemons.map((daemon) =>
        this.#findUnservedKeys(daemon, deadlineAtMs)
      ),
    );
    this.#violations.push(...violations.flat());
  }

  async #findUnservedKeys(
    daemon: SoakDaemon,
    deadlineAtMs: number,
  ): Promise<string[]> {
    let unserved: readonly number[] = watchedKeys;
    let caller: CallerStandin | undefined;
    while (unserved.length > 0 && performance.now() < deadlineAtMs) {
      caller ??= new CallerStandin({
        daemonIndex: daemon.index,
        port: daemon.callersPort,
        timeoutMs: callerTimeoutMs,
        pipelining: 1,
      });
      const failed: number[] = [];
      for (const key of unserved) {
        const record = await caller.send({
          method: "GET",
          path: "/roster/recovery",
          key,
        });
        this.#configurationProbe.records.push(record);
        if (!isSuccess(record)) failed.push(key);
      }
      unserved = failed;
      if (unserved.length === 0) break;
      await caller.close();
      caller = undefined;
      await delay(recoveryPollIntervalMs);
    }
    await caller?.close();
    return unserved.map((key) =>
      `daemon ${daemon.index} does not serve key ${key} within ${recoveryTimeoutMs} ms`
    );
  }
}
