/** Which statuses a final HTTP answer may have; parsers accept any three digits. */

const firstFinalStatus = 200;
const lastFinalStatus = 599;

/** Whether a status can be that of a final answer. */
export function isFinalStatus(status: number): boolean {
  return status >= firstFinalStatus && status <= lastFinalStatus;
}
