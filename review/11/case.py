"""A runner dies while it writes an answer without a length: half of it is passed on as whole."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
STANDINS = os.path.join(HERE, "..", "standins-3")
sys.path.insert(0, STANDINS)
import lab  # noqa: E402

HOST_NAME, PATH = "ficu95.example", "/puxa403/2f"
KEY = "xd9dnn2ctnfzs989anu6"
WHOLE_BYTES = 800
ROUNDS = 3
CONFIG = {
    "version": 7,
    "routes": [{
        "name": "r-puxa", "host": HOST_NAME, "path_prefix": "/puxa403/", "kind": "safe",
        "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "service": "wuno96b",
        "max_attempts": 2, "anonymous": False, "affinity": False, "resumable": False}],
    "services": [{"name": "wuno96b", "health_path": "/health", "max_connections": 110,
                  "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "huka270", "api_keys": [KEY], "priority": 1, "prepaid": 5025415}]}


class Process:
    """A runner as a process; its entry in the store is kept here."""

    count = 0

    def __init__(self, record, store):
        self.record, self.store = record, store
        self.name = "i-%d" % Process.count
        Process.count += 1
        self.port = lab.free_port()
        self.running = []
        self.process = self.reader = self.beat = None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", os.path.join(STANDINS, "unframed_runner.py"), str(self.port),
            self.name, stdout=asyncio.subprocess.PIPE)
        self.reader = asyncio.ensure_future(self.read())
        self.beat = asyncio.ensure_future(self.heartbeat(int(time.time() * 1000)))

    async def read(self):
        while True:
            line = await self.process.stdout.readline()
            if not line:
                return
            self.running.append(line.decode().split()[1])
            self.record.write("runner %s runs %s and has written half of its answer" % (
                self.name, self.running[-1]))

    async def heartbeat(self, born):
        await asyncio.sleep(0.5)
        sequence = 0
        while self.process.returncode is None:
            sequence += 1
            self.store.put("keyed.servers", self.name, {
                "service": "wuno96b", "address": "%s:%d" % (lab.HOST, self.port),
                "zone": "zone-0", "version": "v1", "slots": 6, "state": "ready",
                "cold_left_ms": 0, "sequence": sequence, "born": born})
            await asyncio.sleep(1.2)
        # Removed after three ping intervals of silence.
        await asyncio.sleep(3.6)
        self.store.put("keyed.servers", self.name, None)

    def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()


async def ask(record, gateway, attempt):
    """Returns (status, signed, body, how the channel ended)."""
    reader, writer = await asyncio.open_connection(lab.HOST, gateway.callers)
    record.write("client sends %s to %s" % (attempt, gateway.name))
    writer.write(("GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\n"
                  "Key: %s\r\n\r\n" % (PATH, HOST_NAME, attempt, KEY)).encode())
    status, signed, body, end = None, False, b"", "in order"
    try:
        head = await asyncio.wait_for(lab.read_head(reader), 3.0)
        if head is not None:
            status = int(head[0].split(" ")[1])
            signed = "runner-signature" in head[1]
            if "content-length" in head[1]:
                body = await reader.readexactly(int(head[1]["content-length"]))
            else:
                body = await asyncio.wait_for(reader.read(-1), 3.0)
    except (ConnectionError, asyncio.IncompleteReadError):
        end = "reset"
    except asyncio.TimeoutError:
        end = "not at all"
    writer.close()
    record.write("client has of %s: status %s, %d of %d bytes, its channel ended: %s" % (
        attempt, status, len(body), WHOLE_BYTES, end))
    return status, signed, body, end


async def body(record, temporary, trouble, gateways):
    store = lab.Store(record)
    await store.start()
    store.put("keyed.op", "config", CONFIG)
    runners = []
    try:
        for _ in range(3):
            runners.append(Process(record, store))
            await runners[-1].start()
        for number in range(3):
            gateway = lab.Gateway(record, store, temporary, "front-%d" % number, "zone-%d" % number)
            gateways.append(gateway)
            gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                return 2
        await asyncio.sleep(3.0)
        for number, gateway in enumerate(gateways):
            status, signed, text, _ = await ask(record, gateway, "first-%d" % number)
            if status != 200 or not signed or len(text) != WHOLE_BYTES:
                return 2

        code = 0
        for turn in range(ROUNDS):
            attempt = "trial-%d" % turn
            asked = asyncio.ensure_future(ask(record, gateways[turn % len(gateways)], attempt))
            runner = None
            for _ in range(100):
                runner = next((one for one in runners if attempt in one.running), None)
                if runner is not None:
                    break
                await asyncio.sleep(0.01)
            if runner is None:
                return 2
            await asyncio.sleep(0.05)
            if trouble:
                record.write("runner %s is killed" % runner.name)
                runner.kill()
                # Another one takes its place.
                runners.append(Process(record, store))
                await runners[-1].start()
            status, signed, text, end = await asked
            if status == 200 and signed and end == "in order" and len(text) != WHOLE_BYTES:
                record.write("%s: a success with a signature and half of the body, and an end "
                             "that looks complete" % attempt)
                code = 1
            await asyncio.sleep(2.0)
        return code
    finally:
        for runner in runners:
            runner.kill()
        for runner in runners:
            if runner.process is not None:
                await runner.process.wait()


lab.main(__file__, body)
