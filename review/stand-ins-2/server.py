"""A sound backend server: reports itself to the node beside it and runs requests. It
drops a request when its connection closes. At SIGTERM it says once that it leaves, reports
no more, answers its health page with 503, states in its answers that it leaves, and serves
on until it is killed.

For each run it writes the lines `begin ID TIME` and `answered ID TIME` or `cut ID TIME`,
with the time of the steady clock in seconds. `--large PREFIX` names the path prefix of
large answers, which leave in pieces; `--long PREFIX` that of long jobs.
"""

import argparse
import asyncio
import json
import signal
import time

from fleet import read_body
from fleet import read_head
from fleet import request
from fleet import split_address

REPORT_INTERVAL = 1.5


class BackendServer:
    def __init__(self, args):
        self.args = args
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.leaving = False
        self.runs = open(args.runs, "a", buffering=1)

    async def report(self):
        while True:
            self.sequence += 1
            body = {
                "address": self.args.address, "born": self.born,
                "info": {"service": self.args.service, "version": self.args.version,
                         "zone": self.args.zone, "slots": self.args.slots},
                "status": {"state": "ready", "seq": self.sequence, "cold-remaining": "0ms"},
            }
            path = "/v1/instances/" + self.args.id
            fields = {"Content-Type": "application/json"}
            try:
                encoded = json.dumps(body).encode()
                await request(self.args.reports, "PUT", path, fields, encoded, 1)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(REPORT_INTERVAL)

    async def leave(self, reporting):
        reporting.cancel()
        self.leaving = True
        path = "/v1/instances/" + self.args.id
        fields = {"Content-Type": "application/json"}
        encoded = json.dumps({"born": self.born}).encode()
        status, _, _ = await request(self.args.reports, "DELETE", path, fields, encoded, 1)
        self.log(f"left-{status}", self.args.id)

    async def serve(self, reader, writer):
        try:
            while True:
                _, path, fields = await self.read_request(reader)
                if path == "/health":
                    status = "503 Service Unavailable" if self.leaving else "200 OK"
                    writer.write(f"HTTP/1.1 {status}\r\nInstance-Id: {self.args.id}\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                else:
                    await self.answer(reader, writer, path, fields)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def read_request(self, reader):
        line, fields = await read_head(reader)
        method, path, _ = line.split(" ")
        await read_body(reader, fields)
        return method, path, fields

    def log(self, what, request_id):
        self.runs.write(f"{what} {request_id} {time.monotonic():.3f}\n")

    async def work(self, reader, path):
        """Works on a request; false if its connection closes meanwhile."""
        is_long = self.args.long and path.startswith(self.args.long)
        seconds = (self.args.long_ms if is_long else self.args.work_ms) / 1000
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(min(0.01, max(0, end - time.monotonic())))
            if reader.at_eof() or reader.exception():
                return False
        return True

    async def answer(self, reader, writer, path, fields):
        request_id = fields.get("request-id", "")
        head = f"Request-Id: {request_id}\r\nServer-Stamp: {self.args.id}.{request_id}\r\n"
        expected = fields.get("expect-instance")
        refusal = None
        if not request_id:
            refusal = "400 Bad Request"
        elif expected not in (None, self.args.id):
            refusal = "421 Misdirected Request"
        elif self.running >= self.args.slots:
            refusal = "503 Service Unavailable"
        if refusal:
            writer.write(f"HTTP/1.1 {refusal}\r\n{head}Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return
        self.running += 1
        try:
            self.log("begin", request_id)
            if not await self.work(reader, path):
                self.log("cut", request_id)
                raise ConnectionError("the caller has left")
            if self.leaving:
                head += "Server-Leaving: 1\r\n"
            if self.args.large and path.startswith(self.args.large):
                await self.send_large(writer, head)
            else:
                content = f"{self.args.id} {request_id}".encode()
                length = f"Content-Length: {len(content)}\r\n\r\n"
                writer.write(f"HTTP/1.1 200 OK\r\n{head}{length}".encode() + content)
            self.log("answered", request_id)
        finally:
            self.running -= 1

    async def send_large(self, writer, head):
        piece = self.args.large_bytes // self.args.large_pieces
        total = piece * self.args.large_pieces
        writer.write(f"HTTP/1.1 200 OK\r\n{head}Content-Length: {total}\r\n\r\n".encode())
        for _ in range(self.args.large_pieces):
            writer.write(b"c" * piece)
            await writer.drain()
            await asyncio.sleep(self.args.large_pause_ms / 1000)


async def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "address", "reports", "service", "zone", "version", "runs"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--work-ms", type=float, default=30)
    parser.add_argument("--long")
    parser.add_argument("--long-ms", type=float, default=4500)
    parser.add_argument("--large")
    parser.add_argument("--large-bytes", type=int, default=500_000)
    parser.add_argument("--large-pieces", type=int, default=50)
    parser.add_argument("--large-pause-ms", type=float, default=30)
    args = parser.parse_args()
    server = BackendServer(args)
    listening = await asyncio.start_server(server.serve, *split_address(args.address), backlog=200)
    reporting = asyncio.ensure_future(server.report())
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, lambda: asyncio.ensure_future(server.leave(reporting)))
    await listening.serve_forever()


asyncio.run(main())
