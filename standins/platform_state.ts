/**
 * The state of the platform stand-in: versioned rows, objects and the list of
 * VMs. The stand-in process and the in-process fakes share this code.
 */
import type {
  TableRow,
  TableWrite,
  WriteResult,
} from "../src/host/platform_table.ts";
import type { VmRecord } from "../src/types/types.ts";

/** Stores rows, objects and VMs in memory. */
export class PlatformState {
  readonly #rows = new Map<string, TableRow>();
  readonly #objects = new Map<string, string>();
  #vms: VmRecord[] = [];
  #commitCount = 0;

  /** Reads one row. */
  read(key: string): TableRow | undefined {
    return this.#rows.get(key);
  }

  /** Reads the rows whose keys start with `prefix`, ordered by key. */
  list(prefix: string): TableRow[] {
    return [...this.#rows.values()]
      .filter((row) => row.key.startsWith(prefix))
      .sort((a, b) => a.key < b.key ? -1 : 1);
  }

  /** Commits all writes if every expected version matches, or none. */
  commit(writes: readonly TableWrite[]): WriteResult {
    const isCommitted = writes.every((write) =>
      (this.#rows.get(write.key)?.version ?? 0) === write.expectedVersion
    );
    if (isCommitted) {
      this.#commitCount += 1;
      for (const { key, value, expectedVersion } of writes) {
        this.#rows.set(key, { key, value, version: expectedVersion + 1 });
      }
    }
    const rows = writes
      .map((write) => this.#rows.get(write.key))
      .filter((row) => row !== undefined);
    return { isCommitted, rows };
  }

  /** The number of transactions committed so far. */
  commitCount(): number {
    return this.#commitCount;
  }

  /** Reads an object. */
  getObject(name: string): string | undefined {
    return this.#objects.get(name);
  }

  /** Writes an object. */
  putObject(name: string, content: string): void {
    this.#objects.set(name, content);
  }

  /** The VMs, ordered by identifier. */
  vms(): readonly VmRecord[] {
    return this.#vms;
  }

  /** Adds a VM or replaces the VM with the same identifier. */
  putVm(vm: VmRecord): void {
    this.removeVm(vm.vmId);
    this.#vms = [...this.#vms, vm].sort((a, b) => a.vmId < b.vmId ? -1 : 1);
  }

  /** Removes a VM. */
  removeVm(vmId: string): void {
    this.#vms = this.#vms.filter((vm) => vm.vmId !== vmId);
  }
}
