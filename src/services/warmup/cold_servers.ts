/**
 * The contract of cold servers. A backend server that has just started, or has
 * become cold again, takes only a few requests a second from the whole fleet
 * and crashes above that.
 */
import { Service } from "../../kernel/service.ts";
import { ServiceName } from "../../kernel/service_name.ts";
import type { ServerEntry } from "../../types/routing.ts";
import type { Warmth } from "./cold_record.ts";

/** Knows which servers are cold, and limits what this daemon sends to them. */
export abstract class ColdServers extends Service {
  override readonly name = ServiceName.ColdServers;

  /** What may be sent to the server; always `Warm` for services without a cold rate. */
  abstract warmthOf(server: ServerEntry): Warmth;

  /** How much longer the server is cold by its own word, or after an evacuation; 0 for a warm one. */
  abstract coldLeftMs(server: ServerEntry): number;

  /** The fraction of its part that a server gets; below 1 for a short time after it was cold. */
  abstract partOf(server: ServerEntry): number;

  /** Records what a server said of itself in a health check. */
  abstract noteCold(server: ServerEntry, coldLeftMs: number): void;

  /**
   * Records that a connection to the server was refused or broke, so that it
   * may have restarted. Returns true if a health check should confirm its state.
   */
  abstract noteBroken(server: ServerEntry): boolean;

  /**
   * The time until this daemon may send the server a request; 0 if it may now,
   * which is always so for a warm server.
   */
  abstract waitMs(server: ServerEntry): number;

  /** Takes the right to send the server one request; false if there is none now. */
  abstract tryTake(server: ServerEntry): boolean;
}
