"""A backend server says that it leaves, which its node acknowledges; the node is killed and
started again; a report that the server had sent before arrives late. Looks whether requests
reach the server later than `drain` after the acknowledgement.
"""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))

from fleet import CannotRun
from fleet import Fleet
from fleet import ZONES
from fleet import make_config
from fleet import make_route
from fleet import read_runs
from fleet import request
from fleet import split_address

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Nodes of the service, and those of another service, which gets no requests here.
NODES = 3
OTHER_NODES = 6
PER_SECOND = 36
WORK_MS = 400
DRAIN = 2.0
CONTACT = 3.0
DOWN = 0.5
# Time by which the one report is late.
LATE = 5.2
# Time for which the server serves on after its leave was acknowledged.
SERVES_ON = 9.0


class SlowLink:
    """Passes connections on to an address; can hold back the next one."""

    def __init__(self, fleet, target):
        self.fleet = fleet
        self.target = target
        self.hold_next = False
        self.held = asyncio.Event()
        self.release = asyncio.Event()

    async def carry(self, reader, writer):
        sent = await reader.read(65536)
        is_late = self.hold_next and sent.startswith(b"PUT ")
        if is_late:
            self.hold_next = False
            self.fleet.note(f"report on its way, held back: {sent[-60:]!r}")
            self.held.set()
            await self.release.wait()
        try:
            from_node, to_node = await asyncio.open_connection(*split_address(self.target))
            to_node.write(sent)
            answer = await from_node.read(65536)
            if is_late:
                self.fleet.note(f"the late report arrives: {answer[:15]!r}")
            writer.write(answer)
            await writer.drain()
            to_node.close()
        except OSError:
            pass
        finally:
            writer.close()


async def send(fleet, node, number, sent):
    fields = {"Host": "lopu30.example", "Request-Id": f"lot-{number}", "Deadline-Ms": "3000"}
    sent[f"lot-{number}"] = (time.monotonic(), node)
    try:
        await request(node.callers, "GET", "/lots/1", fields, b"", 3)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass


async def send_requests(fleet, sent, stop):
    tasks = set()
    number = 0
    began = time.monotonic()
    while not stop.is_set():
        node = fleet.nodes[number % len(fleet.nodes)]
        task = asyncio.ensure_future(send(fleet, node, number, sent))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(max(0.0, began + number / PER_SECOND - time.monotonic()))
    await asyncio.gather(*tasks)


async def wait_left(server):
    end = time.monotonic() + 1.5
    while time.monotonic() < end:
        for what, _, at in read_runs([server]).get(server.id, []):
            if what == "left-200":
                return at
        await asyncio.sleep(0.02)
    raise CannotRun("the leave was not acknowledged")


async def play(fleet):
    fleet.start_controls()
    for at in range(NODES):
        fleet.start_node(f"archive-{at}", ZONES[at % 3], "archive", server_args=["--work-ms", str(WORK_MS)])
    for at in range(OTHER_NODES):
        fleet.start_node(f"office-{at}", ZONES[at % 3], "office")
    leaving = fleet.nodes[0]
    link = SlowLink(fleet, leaving.local)
    host = leaving.local.split(":")[0]
    listening = await asyncio.start_server(link.carry, *split_address(fleet.address(host)))
    proxy = "%s:%d" % listening.sockets[0].getsockname()[:2]
    command = leaving.server.command
    command[command.index("--reports") + 1] = proxy
    leaving.server.kill()
    leaving.server.start()
    routes = [make_route("lots", "/lots/", "safe", "archive"),
              make_route("paperwork", "/paperwork/", "safe", "office")]
    status, text = await fleet.put_config(make_config(1, ["archive", "office"], routes), 0)
    if status != 200:
        raise CannotRun(f"the config is not accepted: {status} {text}")
    await fleet.wait_ready()
    await asyncio.sleep(5)
    sent, stop = {}, asyncio.Event()
    running = asyncio.ensure_future(send_requests(fleet, sent, stop))
    await asyncio.sleep(4)

    link.hold_next = True
    await asyncio.wait_for(link.held.wait(), 5)
    late_from = time.monotonic()
    await asyncio.sleep(1.2)
    leaving.server.signal(signal.SIGTERM)
    left = await wait_left(leaving.server)
    fleet.note(f"{leaving.server.id} leaves; acknowledged by {leaving.name}")
    started = 0.0
    if TROUBLE:
        leaving.kill()
        fleet.note(f"{leaving.name} killed (SIGKILL)")
        await asyncio.sleep(DOWN)
        leaving.start()
        started = time.monotonic()
        fleet.note(f"{leaving.name} started again")
    await asyncio.sleep(max(0.0, late_from + LATE - time.monotonic()))
    link.release.set()
    await asyncio.sleep(max(0.0, left + SERVES_ON - time.monotonic()))
    leaving.server.kill()
    fleet.note(f"{leaving.server.id} ends")
    stop.set()
    await running

    def is_late(at, request_id):
        # Sent, and arrived, at a time when all machines are in touch.
        return at > left + DRAIN and sent[request_id][0] > started + CONTACT

    runs = read_runs([leaving.server])
    begins = [(event[2], name) for name, events in runs.items() for event in events if event[0] == "begin"]
    late = sorted((at, name) for at, name in begins if at > left + DRAIN)
    broken = [(at, name) for at, name in late if is_late(at, name)]
    before = sum(1 for at, _ in begins if at <= left)
    fleet.note(f"{before} requests ran at {leaving.server.id} before its leave, {len(late)} later than `drain` after "
               f"its acknowledgement, {len(broken)} of them taken from the client and sent on by machines in touch")
    for at, name in broken:
        fleet.note(f"{name}: from {sent[name][1].name}, runs {at - left:.3f} s after the acknowledgement")
    if before < 10:
        raise CannotRun("the server was not in use")
    return len(broken) > 0


def main():
    path = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
    with open(path, "w") as record:
        fleet = Fleet(record)
        try:
            broken = asyncio.run(asyncio.wait_for(play(fleet), 110))
        except (CannotRun, asyncio.TimeoutError) as error:
            fleet.note(f"could not run: {error!r}")
            return 2
        finally:
            fleet.close()
        fleet.note("the rule is broken" if broken else "the rule held")
        return 1 if broken else 0


sys.exit(main())
