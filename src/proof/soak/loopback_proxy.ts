/**
 * A TCP proxy on loopback that injects faults into the link between two
 * processes. One task runs for each direction of each connection.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { ChangeSignal } from "../../streams/change_signal.ts";
import { createStopController } from "../../streams/stop_controller.ts";
import { assertNever } from "../../types/errors.ts";

const host = "127.0.0.1";

/** The fault of a link. */
export enum LinkFault {
  None = "none",
  /** Bytes arrive late and in order. */
  Delayed = "delayed",
  /** Open connections and new ones are closed. */
  Closed = "closed",
  /** Bytes reach the listener, but no bytes reach the caller. */
  OneWay = "one-way",
  /** No bytes arrive; connections stay open. */
  Silent = "silent",
}

enum Direction {
  ToListener = "to-listener",
  ToCaller = "to-caller",
}

/** Forwards the connections of one link. */
export class LoopbackProxy {
  /** Delay of each chunk while the fault is `Delayed`. */
  delayMs = 0;
  #target: { readonly host: string; readonly port: number };
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #changed = new ChangeSignal();
  readonly #stopping = createStopController();
  #fault = LinkFault.None;

  constructor(targetPort: number) {
    this.#target = { host, port: targetPort };
    this.#server = createServer({ allowHalfOpen: true }, (caller) => {
      this.#accept(caller);
    });
  }

  /** Starts to listen on a free port and returns the port. */
  async listen(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, host, () => resolve())
    );
    return (this.#server.address() as AddressInfo).port;
  }

  /** Sets the fault of the link; `None` ends the present fault. */
  setFault(fault: LinkFault, delayMs = 0): void {
    this.#fault = fault;
    this.delayMs = delayMs;
    if (fault === LinkFault.Closed) this.#closeAll();
    this.#changed.notify();
  }

  /** Leads to another port from now on, and closes the open connections. */
  retarget(port: number): void {
    this.#target = { host, port };
    this.#closeAll();
  }

  /** Closes the listener and all connections. */
  stop(): void {
    this.#stopping.abort();
    this.#server.close();
    this.#closeAll();
  }

  #closeAll(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(caller: Socket): void {
    if (this.#fault === LinkFault.Closed) return void caller.destroy();
    const listener = connect({ ...this.#target, allowHalfOpen: true });
    for (const [socket, other] of [[caller, listener], [listener, caller]]) {
      this.#sockets.add(socket!);
      socket!.setNoDelay(true);
      // An error or close of either socket destroys the other; errors are expected under faults.
      socket!.on("error", () => other!.destroy());
      socket!.once("close", () => {
        this.#sockets.delete(socket!);
        other!.destroy();
      });
    }
    void this.#forward(Direction.ToListener, { from: caller, to: listener });
    void this.#forward(Direction.ToCaller, { from: listener, to: caller });
  }

  /** Forwards the bytes of one direction as far as the fault allows. */
  async #forward(
    direction: Direction,
    { from, to }: { readonly from: Socket; readonly to: Socket },
  ): Promise<void> {
    const queue: Uint8Array[] = [];
    const changed = new ChangeSignal();
    let hasEnded = false;
    from.on("data", (chunk) => {
      queue.push(chunk);
      changed.notify();
    });
    from.once("end", () => {
      hasEnded = true;
      // Bytes that the fault holds back are lost when their sender closes.
      if (this.#isBlocked(direction)) to.destroy();
      changed.notify();
    });
    from.once("close", () => changed.notify());
    const { signal } = this.#stopping;
    while (!signal.aborted && (!from.destroyed || queue.length > 0)) {
      const chunk = queue.shift();
      if (chunk === undefined) {
        if (hasEnded) return void to.end();
        if (from.destroyed || to.destroyed) return;
        await changed.wait(signal);
        continue;
      }
      await this.#waitUntilAllowed(direction);
      if (to.destroyed || signal.aborted) return;
      if (!to.write(chunk)) await waitForDrain(to);
    }
  }

  #isBlocked(direction: Direction): boolean {
    switch (this.#fault) {
      case LinkFault.Silent:
        return true;
      case LinkFault.OneWay:
        return direction === Direction.ToCaller;
      case LinkFault.None:
      case LinkFault.Delayed:
      case LinkFault.Closed:
        return false;
      default:
        return assertNever(this.#fault);
    }
  }

  /** Resolves when the fault lets the next chunk pass. */
  async #waitUntilAllowed(direction: Direction): Promise<void> {
    if (this.#fault === LinkFault.Delayed) await delay(this.delayMs);
    while (this.#isBlocked(direction) && !this.#stopping.signal.aborted) {
      await this.#changed.wait(this.#stopping.signal);
    }
  }
}

function waitForDrain(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once("drain", resolve);
    socket.once("close", () => resolve());
  });
}
