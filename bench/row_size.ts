/**
 * Counts the bytes of an assignment row, as the table stores it, for several
 * numbers of shards and backend servers, and the bytes that each shard and each
 * server adds. The counts are the same on every run.
 */
import { encodeAssignmentRow } from "../src/services/ownership/assignment_codec.ts";
import { BackendServerState } from "../src/types/enums.ts";
import type { AssignedServer } from "../src/types/types.ts";

const version = 100_000;
const shardCounts: readonly number[] = [256, 1_024, 4_096, 16_384];
const serverCounts: readonly number[] = [24, 96, 384];

function createServer(index: number): AssignedServer {
  return {
    serverId: `flood-map-${index}`,
    address: `10.0.${index % 256}.17:8080`,
    dataCentre: "dc-a",
    state: BackendServerState.Live,
    homeDaemonId: `daemon-${index}`,
    standbyDaemonId: `daemon-${index + 1}`,
    homeFence: version,
  };
}

/** Bytes of a row without moves in progress or history. */
function measureRow(shardCount: number, serverCount: number): number {
  const shards = Array.from({ length: shardCount }, (_, shard) => shard);
  return encodeAssignmentRow({
    service: "flood-map",
    epoch: 1_000,
    version,
    writeId: "0123456789abcdef01234567",
    servers: Array.from({ length: serverCount }, (_, i) => createServer(i)),
    shardServers: shards.map((shard) => shard % serverCount),
    shardFences: shards.map(() => version),
    overrides: [],
    pendingReleases: [],
    moves: [],
  }).length;
}

console.log(" shards  servers     bytes");
for (const shardCount of shardCounts) {
  for (const serverCount of serverCounts) {
    console.log([
      String(shardCount).padStart(7),
      String(serverCount).padStart(8),
      String(measureRow(shardCount, serverCount)).padStart(9),
    ].join(" "));
  }
}
const [small, large] = [measureRow(4_096, 24), measureRow(16_384, 24)];
console.log(`per shard: ${((large - small) / 12_288).toFixed(1)} bytes`);
const [few, many] = [measureRow(256, 24), measureRow(256, 384)];
console.log(`per server: ${((many - few) / 360).toFixed(1)} bytes`);
