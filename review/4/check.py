"""All processes of the system are killed at the same moment and started again. Looks what
share of the requests is served once `recovery` has passed.
"""

import asyncio
import os
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

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 9
PER_SECOND = 60
WORK_MS = 550
DEADLINE_MS = 6000
DOWN = 1.0
RECOVERY = 15.0
BEFORE = 10.0
AFTER = 15.0


class Traffic:
    """Sends the same lookup at a steady rate, through all nodes in turn."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.sent = []
        self.stopped = False

    async def send(self, node, number):
        fields = {"Host": "lopu30.example", "Request-Id": f"export-{number}", "Deadline-Ms": str(DEADLINE_MS)}
        sent = time.monotonic()
        try:
            status, answered, _ = await request(node.callers, "GET", "/export/season", fields, b"", DEADLINE_MS / 1000)
            reason = answered.get("cowslip-reason", "")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status, reason = type(error).__name__, ""
        self.sent.append((sent, status, reason))

    async def run(self):
        tasks = set()
        number = 0
        began = time.monotonic()
        while not self.stopped:
            node = self.fleet.nodes[number % len(self.fleet.nodes)]
            task = asyncio.ensure_future(self.send(node, number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            await asyncio.sleep(max(0.0, began + number / PER_SECOND - time.monotonic()))
        await asyncio.gather(*tasks)

    def share(self, since, until, what):
        """Share of the requests sent in a time that were served."""
        counts = {}
        for sent, status, reason in self.sent:
            if since <= sent < until:
                counts[(status, reason)] = counts.get((status, reason), 0) + 1
        total = sum(counts.values())
        served = sum(count for (status, _), count in counts.items() if status == 200)
        self.fleet.note(f"{what}: {served} of {total} requests served; {counts}")
        return served / max(total, 1)


async def play(fleet):
    fleet.start_controls()
    for at in range(SERVERS):
        args = ["--work-ms", str(WORK_MS), "--slots", "9"]
        fleet.start_node(f"register-{at}", ZONES[at % 3], "register", server_args=args)
    routes = [make_route("export", "/export/", "safe", "register", timeout="6000ms", target="1500ms")]
    status, text = await fleet.put_config(make_config(1, ["register"], routes), 0)
    if status != 200:
        raise CannotRun(f"the config is not accepted: {status} {text}")
    await fleet.wait_ready()
    await asyncio.sleep(5)
    traffic = Traffic(fleet)
    running = asyncio.ensure_future(traffic.run())
    began = time.monotonic()
    await asyncio.sleep(BEFORE)
    struck = time.monotonic()
    system = fleet.controls + fleet.nodes
    if TROUBLE:
        for process in system:
            process.child.kill()
        for process in system:
            process.child.wait()
        fleet.note(f"all {len(system)} processes of the system killed (SIGKILL); the servers run on")
        await asyncio.sleep(DOWN)
        for control in fleet.controls:
            fleet.change_settings(control, {"first_start: true": "first_start: false"})
        for process in system:
            process.start()
        fleet.note("all started again")
    back = time.monotonic()
    await asyncio.sleep(RECOVERY + AFTER)
    traffic.stopped = True
    await running
    if any(process.has_ended() for process in fleet.processes):
        raise CannotRun("a process has ended")
    before = traffic.share(began, struck - DEADLINE_MS / 1000, "before")
    traffic.share(back, back + RECOVERY, "during the recovery")
    after = traffic.share(back + RECOVERY, back + RECOVERY + AFTER, "later than `recovery` after all were back")
    cut = sum(1 for events in read_runs([node.server for node in fleet.nodes]).values() for event in events if event[0] == "cut")
    fleet.note(f"no server ended or crashed; {cut} runs were cut by their callers")
    return before >= 0.25 and after < 0.25


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
