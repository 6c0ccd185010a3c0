"""A planned stop cuts streams that the stopping gateway has passed on itself.

Clients hold a channel each. On it runs a draft (route /draft/) that began
before SIGTERM; after its end, later than 3 s after SIGTERM, the client asks
the next question (route /director/) on the same channel.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import standins  # noqa: E402  pylint: disable=wrong-import-position

CLIENTS = 4
GRACE_S = standins.BOUNDS["grace_s"]
# RULES.md: "a request that was sent no later than 3 s after the SIGTERM".
EXCUSED_S = 3.0
DRAFT_EVENTS = 40
DRAFT_PAUSE_S = 0.09
QUESTION_PAUSE_S = 0.03
SHORT_ANSWER = 12
LONG_ANSWER = 185  # the sheet of coral-andina allows 191 events
QUESTION_LIMIT_MS = 15000

CONFIG = {
    "version": 7,
    "routes": [
        {"name": "r-draft", "host": "shop.example", "path_prefix": "/draft/",
         "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 600,
         "target_gap_ms": 500, "priority": 0, "service": "assistant",
         "max_attempts": 2, "anonymous": True, "affinity": True,
         "resumable": True},
        {"name": "r-director", "host": "shop.example",
         "path_prefix": "/director/", "kind": "streaming",
         "timeout_ms": QUESTION_LIMIT_MS, "target_latency_ms": 1000,
         "target_gap_ms": 500, "priority": 1, "service": "assistant",
         "max_attempts": 1, "anonymous": True, "affinity": True,
         "resumable": False}],
    "services": [
        {"name": "assistant", "health_path": "/health",
         "max_connections": 370, "protocol": "h1", "tls": False,
         "engine": {"slots": 64, "kv_capacity_tokens": 410063, "stride": 5,
                    "models": [{"name": "m"}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "parish", "api_keys": ["k1"], "priority": 1,
                 "prepaid": 7000000}],
}


class Engine(standins.Runner):
    """Generates as many events as the path of the request asks for."""

    async def run(self, head, body, reader, writer):
        path = head.first.split(" ")[1]
        events = int(path.rsplit("/", 1)[1])
        pause_s = DRAFT_PAUSE_S if "/draft/" in path else QUESTION_PAUSE_S
        await self.stream(head, reader, writer, events, pause_s)


def ask(channel, path, limit_ms, name=None):
    fields = ["Model: m", "Token-Counts: 700,1000",
              f"Prompt-Prefix: 5c1e07a2:600,{standins.Channel.COUNT:x}f:100"]
    return channel.send("POST", path, deadline_ms=limit_ms, body=b"x" * 200,
                        fields=fields, name=name)


async def case(record, temporary, trouble, gateways):
    store = standins.Store()
    await store.start()
    store.put("keyed.op", "config", CONFIG)
    engines = [Engine(record, store, f"i-engine{i}", "assistant")
               for i in range(3)]
    for engine in engines:
        await engine.start()
    gateway = standins.Gateway(record, temporary, store, "front-a-1")
    gateways.append(gateway)
    await gateway.start()
    await gateway.wait_ready()
    await asyncio.sleep(1)

    warm = standins.Channel(record, gateway.front)
    for _ in range(20):
        _, answer = await ask(warm, f"/director/{SHORT_ANSWER}", 15000)
        if not answer.whole or answer.status != 200:
            raise standins.CannotRun("a question before the stop failed")
    warm.close()

    loop = asyncio.get_running_loop()
    stop_at = loop.create_future()
    broken = []

    async def client(number):
        channel = standins.Channel(record, gateway.front)
        _, draft = await ask(channel, f"/draft/{DRAFT_EVENTS}", 5000,
                             name=f"draft-{number}")
        begin = await stop_at
        if not draft.whole or channel.writer is None:
            record.add(f"client {number}: the channel was closed")
            return
        sent = loop.time() - begin
        name = f"question-{number}"
        _, answer = await ask(channel, f"/director/{LONG_ANSWER}",
                              QUESTION_LIMIT_MS, name=name)
        ended = loop.time() - begin
        was_run = any(name in line and "runs" in line
                      for line in open(f"{FOLDER}/record.txt",
                                       encoding="utf-8"))
        record.say(f"{name}: sent {sent:.2f} s after the stop began, ended "
                   f"at {ended:.2f} s, {answer.text()}")
        if (was_run and not answer.whole and sent > EXCUSED_S
                and ended < GRACE_S + 1
                and ended - sent < QUESTION_LIMIT_MS / 1000):
            broken.append(name)

    clients = [asyncio.create_task(client(i)) for i in range(CLIENTS)]
    await asyncio.sleep(0.4)
    stop_at.set_result(loop.time())
    if trouble:
        gateway.send_signal(signal.SIGTERM)
        killer = loop.call_later(
            GRACE_S, lambda: gateway.process.returncode is None and
            gateway.send_signal(signal.SIGKILL))
        await asyncio.gather(*clients)
        killer.cancel()
    else:
        await asyncio.gather(*clients)
    record.say(f"LOST: {len(broken)} of {CLIENTS} questions were cut")
    return not broken


standins.run_case(FOLDER, case)
