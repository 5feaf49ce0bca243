/**
 * A faulty server as a process of its own, so that its memory does not count as
 * that of the daemon under test. Sends the answer whose title is the first
 * argument without end on each connection, and prints its port.
 */
import { type AddressInfo, createServer, type Socket } from "node:net";
import { endlessAnswers } from "./endless_answers.ts";

const { start, repeated } = endlessAnswers
  .find(({ title }) => title === process.argv[2])!;

const server = createServer((socket: Socket) => {
  socket.on("error", () => {});
  socket.once("data", () => {
    socket.write(start);
    sendMore();
  });
  function sendMore(): void {
    if (socket.destroyed) return;
    if (socket.write(repeated)) setImmediate(sendMore);
    else socket.once("drain", sendMore);
  }
});
server.listen(0, "127.0.0.1", () => {
  console.log((server.address() as AddressInfo).port);
});
