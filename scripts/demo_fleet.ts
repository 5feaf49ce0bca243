/**
 * A small fleet of processes on this machine: the platform stand-in, backend
 * servers of both customers, and daemons. The demo, the load tool, the benches
 * and the process tests use it.
 */
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { VmRole, VmState } from "../src/types/enums.ts";
import type { ListTexts } from "../src/services/lists/lists.ts";
import type { VmRecord } from "../src/types/types.ts";
import { applyExampleLists } from "./apply_example_lists.ts";
import { findFreePort } from "./free_port.ts";
import {
  ProcessGroup,
  ProgramForm,
  type StartedProcess,
} from "./process_group.ts";

/** The peer secret of every demo fleet. */
export const demoPeerSecret = "demo-secret-for-local-fleets";

/** The services of both customers, as a `--services` setting. */
export const demoServices = `
- { name: confirmation, requestClass: confirmation, shardCount: 64, fencingMode: checked, connectionsPerServer: 110, churnWeight: 10 }
- { name: roster, requestClass: live-read, shardCount: 64, fencingMode: checked, connectionsPerServer: 110, churnWeight: 5 }
- { name: audit, requestClass: archive, shardCount: 16, fencingMode: unchecked, connectionsPerServer: 110, churnWeight: 1 }
- { name: flood-map, requestClass: live-read, shardCount: 64, fencingMode: unchecked, connectionsPerServer: 50, churnWeight: 1 }
- { name: dispatch, requestClass: confirmation, shardCount: 64, fencingMode: checked, connectionsPerServer: 50, churnWeight: 5 }
- { name: rainfall, requestClass: archive, shardCount: 16, fencingMode: unchecked, connectionsPerServer: 50, churnWeight: 1 }
`;

/** The size and the settings of a fleet. */
export interface DemoFleetOptions {
  readonly daemonCount: number;
  readonly serverCountByService: Readonly<Record<string, number>>;
  readonly vmListLagMs?: number;
  /** The initial lists; those of `examples/` if undefined. */
  readonly lists?: ListTexts;
  readonly daemonEnvironment?: Readonly<Record<string, string>>;
  readonly serverEnvironment?: Readonly<Record<string, string>>;
  /** How the processes are run; from source if undefined. */
  readonly programForm?: ProgramForm;
  readonly onDaemonLog?: (daemonId: string, text: string) => void;
}

/** A running daemon process. */
export interface DaemonProcess {
  readonly daemonId: string;
  readonly entryAddress: string;
  readonly peerAddress: string;
  readonly started: StartedProcess;
}

/** A running backend server process. */
export interface ServerProcess {
  readonly serverId: string;
  readonly service: string;
  readonly address: string;
  readonly started: StartedProcess;
}

const dataCentres = ["dc-a", "dc-b", "dc-c"];
const readyTimeoutMs = 20_000;
const readyPollIntervalMs = 50;
const servicesWithoutFencing = new Set(["audit", "flood-map", "rainfall"]);

/** Starts and stops the processes of one fleet. */
export class DemoFleet {
  readonly group: ProcessGroup;
  readonly daemons: DaemonProcess[] = [];
  readonly servers: ServerProcess[] = [];
  readonly #options: DemoFleetOptions;
  #platformAddress = "";

  constructor(options: DemoFleetOptions) {
    this.#options = options;
    this.group = new ProcessGroup(options.programForm ?? ProgramForm.Source);
  }

  /** Starts every process, applies the lists, and waits until every daemon is ready. */
  async start(): Promise<void> {
    await this.#startPlatform();
    for (
      const [service, count] of Object.entries(
        this.#options.serverCountByService,
      )
    ) {
      for (let index = 0; index < count; index++) {
        await this.startServer(service, index);
      }
    }
    for (let index = 0; index < this.#options.daemonCount; index++) {
      await this.startDaemon(index);
    }
    await applyExampleLists(this.daemons[0]!.peerAddress, {
      peerSecret: demoPeerSecret,
      texts: this.#options.lists,
    });
    await Promise.all(
      this.daemons.map((daemon) =>
        waitForStatus(`http://${daemon.entryAddress}/-/ready`)
      ),
    );
  }

  /** Returns the address of the platform stand-in. */
  platformAddress(): string {
    return this.#platformAddress;
  }

  /** Sets a fault of the platform stand-in. */
  async setPlatformFault(fault: Readonly<Record<string, unknown>>) {
    await postJson(`http://${this.#platformAddress}/fault`, fault);
  }

  /** Starts one backend server and adds its VM to the platform's list. */
  async startServer(service: string, index: number): Promise<ServerProcess> {
    const port = await findFreePort();
    const serverId = `${service}-${index}`;
    const started = this.group.start(serverId, {
      program: "standins/backend_server.ts",
      environment: {
        STANDIN_PORT: String(port),
        STANDIN_SERVER_ID: serverId,
        STANDIN_CHECKS_FENCE: servicesWithoutFencing.has(service) ? "0" : "1",
        ...this.#options.serverEnvironment,
      },
    });
    const server = {
      serverId,
      service,
      address: `127.0.0.1:${port}`,
      started,
    };
    await waitForStatus(`http://${server.address}/health`);
    await this.putVm({
      vmId: serverId,
      role: VmRole.BackendServer,
      state: VmState.Live,
      address: server.address,
      dataCentre: dataCentres[index % dataCentres.length]!,
      service,
    });
    this.servers.push(server);
    return server;
  }

  /** Starts one daemon and adds its VM to the platform's list. */
  async startDaemon(index: number): Promise<DaemonProcess> {
    const daemonId = `daemon-${index}`;
    const dataCentre = dataCentres[index % dataCentres.length]!;
    const entryAddress = `127.0.0.1:${await findFreePort()}`;
    const peerAddress = `127.0.0.1:${await findFreePort()}`;
    const started = this.group.start(daemonId, {
      program: "src/daemon/main.ts",
      environment: {
        SKYLARKRIDGE_DAEMON_ID: daemonId,
        SKYLARKRIDGE_DATA_CENTRE: dataCentre,
        SKYLARKRIDGE_ENTRY_ADDRESS: entryAddress,
        SKYLARKRIDGE_PEER_ADDRESS: peerAddress,
        SKYLARKRIDGE_PLATFORM_ADDRESS: this.#platformAddress,
        SKYLARKRIDGE_PEER_SECRET: demoPeerSecret,
        SKYLARKRIDGE_SERVICES: demoServices,
        SKYLARKRIDGE_LOG_FORMAT: "json",
        ...this.#options.daemonEnvironment,
      },
      onStderr: (text) => this.#options.onDaemonLog?.(daemonId, text),
    });
    const daemon = { daemonId, entryAddress, peerAddress, started };
    await this.putVm({
      vmId: daemonId,
      role: VmRole.Daemon,
      state: VmState.Live,
      address: peerAddress,
      dataCentre,
    });
    this.daemons.push(daemon);
    return daemon;
  }

  /** Adds a VM to the platform's list or replaces its record. */
  async putVm(vm: VmRecord): Promise<void> {
    await postJson(`http://${this.#platformAddress}/vms`, vm);
  }

  /** Ends every process. */
  async stop(): Promise<void> {
    await this.group.endAll();
  }

  async #startPlatform(): Promise<void> {
    const port = await findFreePort();
    this.#platformAddress = `127.0.0.1:${port}`;
    this.group.start("platform", {
      program: "standins/platform.ts",
      environment: {
        STANDIN_PORT: String(port),
        STANDIN_VM_LIST_LAG_MS: String(this.#options.vmListLagMs ?? 200),
      },
    });
    await waitForStatus(`http://${this.#platformAddress}/vms`);
  }
}

async function postJson(url: string, body: unknown): Promise<void> {
  const answer = await request(url, {
    method: "POST",
    body: JSON.stringify(body),
  });
  await answer.body.dump();
}

/** Polls a URL until it answers 200; rejects after 20 s. */
export async function waitForStatus(url: string): Promise<void> {
  const deadlineAtMs = performance.now() + readyTimeoutMs;
  while (performance.now() < deadlineAtMs) {
    try {
      const answer = await request(url);
      await answer.body.dump();
      if (answer.statusCode === 200) return;
    } catch {
      // The process does not listen yet.
    }
    await delay(readyPollIntervalMs);
  }
  throw new Error(`${url} was not ready within ${readyTimeoutMs} ms`);
}
