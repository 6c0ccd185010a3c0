"""Whole streams are cut because their runner takes no further channel for a moment."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
import lab  # noqa: E402

HOST_NAME = "ficu95.example"
STREAM_PATH, PLAIN_PATH = "/lohu930/2f", "/pule252/2f"
KEY = "xd9dnn2ctnfzs989anu6"
EVENTS, STEP_S = 12, 0.05
# Of each model runner: requests that run at once, channels that it accepts, and requests that wait
# when its queue counts as long; it then accepts no further channel.
SLOTS, MAX_CHANNELS, LONG_QUEUE = 12, 60, 4
# Streams a second: three quarters of what the runners can do, and 1.7 times that.
USUAL_PER_S, BURST_PER_S = 45, 76.5
BURST_S = 3.0
CONFIG = {
    "version": 7,
    "routes": [{
        "name": "r-lohu", "host": HOST_NAME, "path_prefix": "/lohu930/", "kind": "streaming",
        "timeout_ms": 12000, "target_latency_ms": 1000, "priority": 1, "service": "huvo11a",
        "max_attempts": 1, "anonymous": False, "affinity": True, "resumable": False,
        "target_gap_ms": 500}, {
        "name": "r-pule", "host": HOST_NAME, "path_prefix": "/pule252/", "kind": "safe",
        "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "service": "wuno96b",
        "max_attempts": 1, "anonymous": False, "affinity": False, "resumable": False}],
    "services": [{
        "name": "huvo11a", "health_path": "/health", "max_connections": MAX_CHANNELS, "protocol": "h1",
        "tls": False, "engine": {"slots": 64, "kv_capacity_tokens": 400012, "stride": 6,
                                 "models": [{"name": "m"}]}}, {
        "name": "wuno96b", "health_path": "/health", "max_connections": 110,
                  "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "huka270", "api_keys": ["xd9dnn2ctnfzs989anu6"], "priority": 1,
                 "prepaid": 5025415}]}


def plan(request):
    return [STEP_S] * EVENTS if "token-counts" in request else 0.01


class Engine(lab.Runner):
    """Runs SLOTS requests at once and queues others. While its queue is long it resets new channels.

    Each third answer says "Connection: close"; all are framed.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.places = asyncio.Semaphore(SLOTS)
        self.waiting = 0
        self.answers = 0
        self.resets = 0

    async def serve(self, reader, writer):
        if self.waiting >= LONG_QUEUE or len(self.writers) >= MAX_CHANNELS:
            self.resets += 1
            self.record.write("runner %s resets a new channel: %d wait" % (self.name, self.waiting))
            writer.transport.abort()
            return
        await super().serve(reader, writer)

    async def run(self, line, fields, reader, writer):
        self.waiting += 1
        async with self.places:
            self.waiting -= 1
            self.answers += 1
            self.closes = self.answers % 3 == 0
            await super().run(line, fields, reader, writer)


async def ask(record, gateway, name):
    """A small request and then, on the same channel, a stream."""
    channel = lab.Channel(record, gateway)
    try:
        await channel.open()
        first = await channel.ask("first-" + name, HOST_NAME, PLAIN_PATH, {"Key": KEY},
                                  method="GET", limit_s=1.5)
        if not first["whole"] or first["close"]:
            return None
        return await channel.ask("stream-" + name, HOST_NAME, STREAM_PATH, {
            "Key": KEY, "Model": "m", "Token-Counts": "40,120",
            "Prompt-Prefix": "5c1e07a2:20,%s:20" % name}, b"x" * 100, limit_s=12.0)
    except OSError:
        return None
    finally:
        channel.close()


async def body(record, temporary, trouble, gateways):
    store = lab.Store(record)
    await store.start()
    store.put("keyed.op", "config", CONFIG)
    engines = []
    for number in range(3):
        engine = Engine(record, store, "i-%d-llm" % number, "huvo11a", "zone-%d" % number, plan)
        engines.append(engine)
        await engine.start()
        app = lab.Runner(record, store, "i-%d-app" % number, "wuno96b", "zone-%d" % number, plan)
        await app.start()
    for number in range(3):
        gateway = lab.Gateway(record, store, temporary, "front-%d" % number, "zone-%d" % number)
        gateways.append(gateway)
        gateway.start()
    for gateway in gateways:
        if not await gateway.wait_ready():
            return 2
    await asyncio.sleep(4.0)

    asked = []
    begun = record.now()
    while record.now() - begun < 3.0 + BURST_S:
        in_burst = record.now() - begun >= 3.0
        rate = BURST_PER_S if trouble and in_burst else USUAL_PER_S
        asked.append(asyncio.ensure_future(
            ask(record, gateways[len(asked) % len(gateways)], "%04x" % len(asked))))
        await asyncio.sleep(1 / rate)
    results = [one for one in await asyncio.gather(*asked) if one is not None]

    whole_runs = {run["id"] for engine in engines for run in engine.runs if run["how"] == "complete"}
    if not whole_runs:
        return 2
    lost = [one for one in results if one["id"] in whole_runs and not one["whole"]]
    for one in lost:
        record.write("%s: its runner made all %d events and the end; the client's kept channel was "
                     "closed without the end, after %d events" % (
                         one["id"], EVENTS, len(one["events"])))
    record.write("%d streams were made whole by their runners, %d of these did not reach their "
                 "clients whole" % (len(whole_runs), len(lost)))
    return 1 if len(lost) > 3 else 0


lab.main(__file__, body)
