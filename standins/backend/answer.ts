/** Writes the answer of a backend server stand-in, complete or with a fault. */
import type { ServerResponse } from "node:http";
import { AnswerFault, type Behaviour } from "./behaviour.ts";
import type { ReceivedRequest } from "./received_request.ts";

const otherRequestId = "another-request";

/** The parts of which an answer is built. */
export interface AnswerContent {
  readonly serverId: string;
  readonly received: ReceivedRequest;
  readonly body: string;
}

/** Echoes the key, the URL and the body of the request. */
export async function sendAnswer(
  response: ServerResponse,
  behaviour: Behaviour,
  { serverId, received, body }: AnswerContent,
): Promise<void> {
  const { answerFault, answerBytes } = behaviour;
  if (answerFault === AnswerFault.Lost) return void response.destroy();
  const { key, url, requestId } = received;
  const content = Buffer.from(
    JSON.stringify({ key, url, body, filler: "x".repeat(answerBytes) }),
  );
  const isOther = answerFault === AnswerFault.OtherRequest;
  response.writeHead(200, {
    "content-type": "application/json",
    "content-length": content.length,
    "skylark-server": serverId,
    "skylark-request-id": isOther ? otherRequestId : requestId,
  });
  if (answerFault !== AnswerFault.CutBody) return void response.end(content);
  const half = content.subarray(0, content.length / 2);
  await new Promise<void>((resolve) => response.write(half, () => resolve()));
  response.destroy();
}
