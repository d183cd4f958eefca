"""A node gets SIGTERM while the server beside it works on requests of its clients.
Looks for requests that the node breaks off although their servers were not at work any
more in the last sixth of `grace`.
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
from fleet import encode_request
from fleet import make_config
from fleet import make_route
from fleet import read_body
from fleet import read_head
from fleet import read_runs
from fleet import split_address

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE = 6.0
LAST_SIXTH = GRACE * 5 / 6
# The rule leaves out requests that were sent later than this after the SIGTERM.
SENT_MAX = 3.0
REQUESTS = 9
# A job that begins 0.33 s after the SIGTERM ends before the last sixth begins.
JOB_MS = 4600
DEADLINE_MS = 5000


async def send(fleet, address, request_id, results):
    reader, writer = await asyncio.open_connection(*split_address(address))
    fields = {"Host": "lopu30.example", "Request-Id": request_id, "Deadline-Ms": str(DEADLINE_MS)}
    sent = time.monotonic()
    writer.write(encode_request("POST", "/sign/1", fields, b"one contract"))
    fleet.note(f"client: sent {request_id}")
    try:
        line, answered = await asyncio.wait_for(read_head(reader), DEADLINE_MS / 1000)
        await read_body(reader, answered)
        stamp = answered.get("server-stamp")
        result = (sent, time.monotonic(), line.split()[1], stamp)
        fleet.note(f"client: {request_id} answered {line!r}, stamp {stamp}, {answered.get('cowslip-reason', '')}")
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        result = (sent, time.monotonic(), repr(error), None)
        fleet.note(f"client: {request_id} ended without an answer: {error!r}")
    finally:
        writer.close()
    results[request_id] = result


async def play(fleet):
    fleet.start_controls()
    for at in range(3):
        args = ["--long", "/sign/", "--long-ms", str(JOB_MS)]
        fleet.start_node(f"avtale-{at}", ZONES[at], "avtale", server_args=args)
    routes = [make_route("sign", "/sign/", "unsafe", "avtale", timeout="5000ms", target="800ms")]
    status, text = await fleet.put_config(make_config(1, ["avtale"], routes), 0)
    if status != 200:
        raise CannotRun(f"the config is not accepted: {status} {text}")
    await fleet.wait_ready()
    # Longer than `contact`, so that all machines are in touch.
    await asyncio.sleep(5)
    node = fleet.nodes[0]
    stopped = time.monotonic()
    if TROUBLE:
        node.signal(signal.SIGTERM)
        fleet.note(f"SIGTERM to {node.name}; the grace period is {GRACE} s")
    await asyncio.sleep(0.32)
    results = {}
    sending = []
    for at in range(REQUESTS):
        sending.append(asyncio.ensure_future(send(fleet, node.callers, f"sign-{at}", results)))
        await asyncio.sleep(0.005)
    await asyncio.gather(*sending)
    await asyncio.sleep(0.5)
    others = [process for process in fleet.processes if process is not node]
    if any(process.has_ended() for process in others):
        raise CannotRun("a process has ended")
    return judge(fleet, stopped, results)


def judge(fleet, stopped, results):
    runs = read_runs([node.server for node in fleet.nodes])
    broken = False
    for request_id, (sent, ended, status, stamp) in sorted(results.items()):
        events = runs.get(request_id, [])
        for what, server, at in events:
            fleet.note(f"server {server}: {request_id} {what} {at - stopped:.3f} s after the SIGTERM")
        if stamp is not None or not events:
            continue
        in_time = sent - stopped <= SENT_MAX and ended - sent < DEADLINE_MS / 1000
        at_work_until = max(at for _, _, at in events) - stopped
        lost = in_time and ended - stopped <= GRACE + 1 and at_work_until < LAST_SIXTH
        fleet.note(
            f"{request_id}: sent {sent - stopped:.3f} s, ended {ended - stopped:.3f} s ({status}), "
            f"its server at work until {at_work_until:.3f} s; the last sixth begins at {LAST_SIXTH} s: "
            + ("lost" if lost else "not counted")
        )
        broken |= lost
    if not any(events for events in runs.values()):
        raise CannotRun("no request ran")
    return broken


def main():
    path = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
    with open(path, "w") as record:
        fleet = Fleet(record)
        try:
            broken = asyncio.run(asyncio.wait_for(play(fleet), 100))
        except (CannotRun, asyncio.TimeoutError) as error:
            fleet.note(f"could not run: {error!r}")
            return 2
        finally:
            fleet.close()
        fleet.note("the rule is broken" if broken else "the rule held")
        return 1 if broken else 0


sys.exit(main())
