"""A runner that is gone gets no new request when an earlier write of it, which
a cut of its own link had held up, reaches the store after its last one."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
import lab  # noqa: E402

HOST = "ficu95.example"
RUNNERS = 5  # One of them is cut off: a share of 0.2.
DRAIN_S = 2.0
CONTACT_S = 3.0
PING_S = 1.2
# The runner is cut off from the store, and from nothing else, for so long.
CUT_S = 3.1
# TCP sends held-up bytes again after 0.2 s and then after twice the time: 0.2,
# 0.6, 1.4, 3.0 and 6.2 s after they were sent.
RESENT_S = 6.2
# The runner gives up on an answer after this time and writes on a new channel.
ANSWER_S = 1.0
# From the beginning of the cut until the runner leaves.
LEAVES_AFTER_S = 3.9
# The runner serves drain_ms after its entry was removed and a little longer,
# at times many seconds, and then exits.
SERVES_S = DRAIN_S + 3.0
CLIENTS = 4


async def client(record, gateway, number, answers):
    """Sends bookings one after the other on a kept channel."""
    channel = None
    count = 0
    while True:
        count += 1
        ident = f"{number:04x}{count:012x}"
        try:
            if channel is None:
                channel = await lab.Channel(gateway.port).open()
            channel.send("POST", HOST, "/reserva/1", [("Attempt-Id", ident),
                         ("Deadline-Ms", "1500"), ("Key", "key-one")], b"x" * 600)
            found = await channel.receive(3)
        except OSError:
            found = None
        status = lab.status_of(found)
        answers[status] = answers.get(status, 0) + 1
        if status != 200:
            record(f"client has {status} to {ident}")
        if found is None or "close" in found.get("Connection").lower():
            channel.close()
            channel = None
        await asyncio.sleep(0.1)


async def ping(record, runner, port):
    """Writes the runner's entry to the store over one channel; over a new one
    if there is no answer."""
    channel = None
    old = []
    runner.leaves = False
    while not runner.leaves:
        entry = runner.entry()
        key = runner.id.encode()
        content = bytes([len(key)]) + key + json.dumps(entry).encode()
        if channel is None:
            channel = await lab.Channel(port).open()
        channel.send("POST", "store", "/log-append?topic=keyed.servers&part=0", [],
                     len(content).to_bytes(4, "big") + content)
        # A new channel opens only after the cut.
        wait = ANSWER_S if not old else CUT_S
        found = await channel.receive(wait)
        if found is None:
            record(f"{runner.id} has no answer to its write {entry['sequence']}")
            old.append(channel)
            channel = None
            continue
        record(f"{runner.id} has written {entry['sequence']}: {lab.status_of(found)}")
        await asyncio.sleep(PING_S)


async def main(record, scratch, gateways):
    store = await lab.Store().start()
    link = await lab.Link(store.server.port).start()
    apps = [await lab.Runner(record, f"i-a{n}", "app", slots=6).start() for n in range(RUNNERS)]
    leaver = apps[0]
    arrivals = []
    handle = leaver.server.handle

    async def watched(request, reader, writer):
        if request.get("Expect-Runner", leaver.id) == leaver.id and "/health" not in request.first:
            arrivals.append((time.monotonic(), request.get("Attempt-Id")))
        return await handle(request, reader, writer)

    leaver.server.handle = watched

    async def written_late(name, query):
        if query.get("topic") == "keyed.servers" and name == "log-append":
            record(f"the store carries out a write of {leaver.id}")

    store.after = written_late
    routes = [lab.route("r-unsafe", "/reserva/", "unsafe", "app", 1500)]
    tenants = [{"name": "t-one", "api_keys": ["key-one"], "priority": 1, "prepaid": 7152663}]
    store.put("keyed.op", "config",
              lab.config(7, routes, [lab.service("app", max_connections=110)], tenants))
    stays = asyncio.ensure_future(lab.heartbeats(store, apps[1:], PING_S))
    gateway = lab.Gateway(record, scratch, "front-z-a-1", store)
    gateways.append(gateway)
    pings = asyncio.ensure_future(ping(record, leaver, link.own_port))
    await gateway.start()
    if not await gateway.wait_ready():
        record.say("the gateway did not become ready")
        return 2
    await asyncio.sleep(CONTACT_S + 0.5)
    answers = {}
    clients = [asyncio.ensure_future(client(record, gateway, n, answers)) for n in range(CLIENTS)]
    await asyncio.sleep(0.5)

    # The cut begins right before the runner's next write.
    written = leaver.sequence
    while leaver.sequence == written:
        await asyncio.sleep(0.005)
    await asyncio.sleep(PING_S - 0.1)
    begin = time.monotonic()
    if lab.trouble():
        link.cut(CUT_S, RESENT_S + 0.1)
        record(f"{leaver.id} is cut off from the store")
    await asyncio.sleep(LEAVES_AFTER_S)
    leaver.leaves = True
    store.put("keyed.servers", leaver.id, b"")
    gone_at = time.monotonic()
    record(f"{leaver.id} leaves without a report; its entry is removed "
           f"{gone_at - begin:.1f} s after the beginning of the cut")
    await asyncio.sleep(SERVES_S)
    running = set(leaver.runs) - leaver.finished
    for writer in list(leaver.server.writers):
        writer.transport.abort()
    leaver.server.server.close()
    record(f"{leaver.id} exits {time.monotonic() - gone_at:.1f} s after its entry was removed; "
           f"it was at work on {len(running)} requests: {sorted(running)}")
    await asyncio.sleep(1)
    for task in clients + [stays, pings]:
        task.cancel()

    late_ones = [(at, ident) for at, ident in arrivals if at - gone_at > DRAIN_S]
    for at, ident in late_ones:
        record(f"{ident} reached {leaver.id} {at - gone_at:.3f} s after it was gone")
    before = sum(gone_at - 2 < at <= gone_at for at, _ in arrivals)
    record(f"{before} requests reached {leaver.id} in the 2 s before; answers {answers}")
    if before == 0 or not gateway.is_running():
        record.say("the runner had no requests before it left, or the gateway has ended")
        return 2
    record.say(f"{len(late_ones)} requests reached {leaver.id} later than {DRAIN_S} s after the "
               f"store had removed its entry (none is allowed); {len(running)} were cut by its exit")
    return 1 if late_ones else 0


if __name__ == "__main__":
    lab.run_case(main, FOLDER)
