/** Encodes the settings file of a daemon on loopback as the platform writes it. */

const host = "127.0.0.1";
/** Time between SIGTERM and SIGKILL when the platform stops a daemon. */
export const graceSeconds = 6;
const retryWindowSeconds = 10;

/** The ports that a daemon listens on or connects to. */
export interface DaemonPorts {
  readonly callersPort: number;
  readonly readinessPort: number;
  readonly storePort: number;
  readonly peerPort: number;
  /** The port at which peers connect; `peerPort` when omitted. */
  readonly advertisedPeerPort?: number;
}

export function encodeDaemonSettings(
  daemonId: string,
  ports: DaemonPorts,
): string {
  const { callersPort, readinessPort, storePort, peerPort } = ports;
  const { advertisedPeerPort = peerPort } = ports;
  return JSON.stringify({
    daemonId,
    zone: "zone-a",
    callersAddress: `${host}:${callersPort}`,
    readinessAddress: `${host}:${readinessPort}`,
    storeAddress: `${host}:${storePort}`,
    host,
    peerPorts: [peerPort, peerPort],
    advertisedPeerAddress: `${host}:${advertisedPeerPort}`,
    processorShare: 1,
    processorCount: 1,
    graceSeconds,
    retryRatio: 0.2,
    retryWindowSeconds,
    retryExtraCount: 56,
  });
}
