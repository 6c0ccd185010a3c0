"""Stand-ins for the review's cases: the platform's store, runners, clients, and
the start of gateways as the deploy file says.

Everything runs on loopback addresses and the real clock. The store and the
runners answer as PROTOCOL.md says; a case replaces single answers with hooks.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"


def free_ports(count):
    """Ports that are free now, each from the system."""
    held = []
    for _ in range(count):
        s = socket.socket()
        s.bind((HOST, 0))
        held.append(s)
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


class Record:
    """What was sent, answered and run: lines in record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


# HTTP/1.1 for stand-ins.


class Message:
    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    def get(self, name, default=""):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


async def read_message(reader, has_body=True):
    """Reads a request or an answer; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = [tuple(p.strip() for p in line.split(":", 1)) for line in lines[1:] if line]
    message = Message(lines[0], fields, b"")
    if not has_body:
        return message
    try:
        if "chunked" in message.get("Transfer-Encoding").lower():
            parts = []
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                parts.append(data[:-2])
            message.body = b"".join(parts)
        else:
            length = int(message.get("Content-Length", "0") or 0)
            message.body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return message


def answer(status, fields, body=b""):
    head = [f"HTTP/1.1 {status} X"] + [f"{k}: {v}" for k, v in fields]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Serves HTTP/1.1 connections; `handle` gets each request."""

    def __init__(self, handle):
        self.handle = handle
        self.port = None
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, HOST, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                if await self.handle(request, reader, writer) is False:
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# The platform's store, in the form of a log.


class Partition:
    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()
        self.producers = {}

    def end(self):
        return self.first + len(self.records)

    def add(self, content):
        offset = self.end()
        self.records.append(content)
        size = content[0]
        key, value = content[1 : 1 + size], content[1 + size :]
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class Store:
    """The platform's metadata store as PROTOCOL.md describes it."""

    def __init__(self, append_ms=2.0, answer_ms=4.0):
        self.append_s = append_ms / 1000
        self.answer_s = answer_ms / 1000
        self.parts = {}
        # Coroutines called with (name, query) before and after a call, which may
        # delay it. "drop" closes the connection without an answer; "busy", from
        # the first one, answers 503.
        self.before = None
        self.after = None

    async def start(self):
        self.server = await Server(self._handle).start()
        self.address = self.server.address
        return self

    def part(self, topic, number=0):
        return self.parts.setdefault((topic, int(number)), Partition())

    def put(self, topic, key, value):
        """A record of the operator or of a runner."""
        key = key.encode()
        value = json.dumps(value).encode() if not isinstance(value, bytes) else value
        return self.part(topic).add(bytes([len(key)]) + key + value)

    async def _handle(self, request, reader, writer):
        method, target, _ = request.first.split(" ")
        path, _, text = target.partition("?")
        query = dict(p.split("=", 1) for p in text.split("&") if "=" in p)
        query = {k: re.sub("%(..)", lambda m: chr(int(m[1], 16)), v) for k, v in query.items()}
        name = path.strip("/")
        if self.before is not None:
            verdict = await self.before(name, query)
            if verdict == "drop":
                writer.transport.abort()
                return False
            if verdict == "busy":  # Nothing was done.
                writer.write(answer(503, []))
                return True
        if name == "log-read":
            out = await self._read(query)
        elif name == "log-newest":
            await asyncio.sleep(self.answer_s)
            out = self._newest(query)
        elif name == "log-append":
            out = await self._append(query, request.body)
        else:
            out = answer(404, [])
        if self.after is not None and await self.after(name, query) == "drop":
            writer.transport.abort()
            return False
        writer.write(out)
        await writer.drain()
        return True

    async def _read(self, query):
        await asyncio.sleep(self.answer_s)
        part = self.part(query["topic"], query["part"])
        start = int(query["from"])
        if start < part.first:
            return answer(410, [], json.dumps({"first": part.first}).encode())
        end_at = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while start >= part.end() and time.monotonic() < end_at:
            try:
                await asyncio.wait_for(part.changed.wait(), end_at - time.monotonic())
            except asyncio.TimeoutError:
                break
        out = part.end().to_bytes(8, "big") + part.first.to_bytes(8, "big")
        room = int(query.get("max_kb", 1024)) * 1024
        for content in part.records[max(0, start - part.first) :]:
            if room < len(content) and room != int(query.get("max_kb", 1024)) * 1024:
                break
            out += len(content).to_bytes(4, "big") + content
            room -= len(content)
        return answer(200, [("Content-Type", "application/octet-stream")], out)

    def _newest(self, query):
        part = self.part(query["topic"], query["part"])
        after = query.get("after", "").encode("latin-1")
        keys = sorted(k for k in part.newest if k > after)
        items = [
            {
                "key": k.decode("latin-1"),
                "value": base64.b64encode(part.newest[k][1]).decode(),
                "offset": part.newest[k][0],
            }
            for k in keys[:500]
        ]
        body = {"items": items, "more_pages": len(keys) > 500, "end_offset": part.end()}
        return answer(200, [("Content-Type", "application/json")], json.dumps(body).encode())

    async def _append(self, query, body):
        part = self.part(query["topic"], query["part"])
        async with part.lock:
            await asyncio.sleep(self.append_s)
            return self._append_now(part, query, body)

    def _append_now(self, part, query, body):
        def reply(status, content):
            kind = [("Content-Type", "application/json")]
            return answer(status, kind, json.dumps(content).encode())

        state = None
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            state = part.producers.setdefault(query["producer"], {"epoch": -1, "next": 0, "last": {}})
            if epoch < state["epoch"]:
                return reply(409, {"reason": "fenced"})
            if epoch > state["epoch"]:
                state.update({"epoch": epoch, "next": sequence, "last": {}})
            if sequence in state["last"]:
                return state["last"][sequence]
            if body and sequence != state["next"]:
                return reply(409, {"reason": "seq", "sequence": state["next"]})
        if "at" in query and int(query["at"]) != part.end():
            return reply(412, {"end_offset": part.end()})
        offset, rest = part.end(), body
        while rest:
            size = int.from_bytes(rest[:4], "big")
            part.add(rest[4 : 4 + size])
            rest = rest[4 + size :]
        out = reply(200, {"offset": offset, "end_offset": part.end()})
        if state is not None and body:
            state["next"] += 1
            state["last"][sequence] = out
            for old in sorted(state["last"])[:-5]:
                del state["last"][old]
        return out


# Runners.


class Runner:
    """A runner of a service. `engine`: a model runner with that memory in
    tokens; otherwise a plain application whose requests take `work_s`."""

    def __init__(self, record, ident, service, zone="z-a", slots=64, engine=None, work_s=0.06,
                 event_s=0.02, tokens_per_event=5, prefill_per_s=56600):
        self.record = record
        self.id = ident
        self.service = service
        self.zone = zone
        self.slots = slots
        self.engine = engine
        self.work_s = work_s
        self.event_s = event_s
        self.tokens_per_event = tokens_per_event
        self.prefill_per_s = prefill_per_s
        self.prefill = asyncio.Lock()  # Prompts are read one after another.
        self.runs = {}  # Attempt-Id -> number of runs
        self.finished = set()
        self.refused = 0
        self.delivered = {}
        self.prompt = {}
        self.tenant = {}
        self.active = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.log_runs = True

    async def start(self):
        self.server = await Server(self._handle).start()
        return self

    def entry(self, state="ready"):
        self.sequence += 1
        return {
            "service": self.service, "address": self.server.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state, "cold_left_ms": 0,
            "sequence": self.sequence, "born": self.born,
        }

    def load(self):
        return f"{self.active},0,{self.slots}"

    async def _handle(self, request, reader, writer):
        method, target, _ = request.first.split(" ")
        if target == "/health":
            fields = [("Runner-Id", self.id), ("Runner-Load", self.load())]
            writer.write(answer(200, fields))
            return True
        attempt = request.get("Attempt-Id")
        base = [("Attempt-Id", attempt), ("Runner-Id", self.id), ("Runner-Load", self.load())]
        if request.get("Expect-Runner", self.id) != self.id:
            writer.write(answer(421, base))
            return True
        counts = [int(c) for c in request.get("Token-Counts", "0,0").split(",")]
        if self.engine is not None and sum(counts) > self.engine:
            self.refused += 1
            writer.write(answer(503, base + [("Not-Executed", "1")]))
            return True
        if self.active >= self.slots:
            self.refused += 1
            writer.write(answer(503, base + [("Not-Executed", "1")]))
            return True
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.tenant[attempt] = request.get("Tenant")
        self.prompt[attempt] = counts[0]
        if self.log_runs:
            self.record(f"runner {self.id} runs {attempt} of {request.get('Tenant')}")
        self.active += 1
        gone = asyncio.ensure_future(reader.read(1)) if self.engine is None else None
        try:
            if self.engine is not None:
                return await self._stream(request, base, attempt, counts, writer)
            done, _ = await asyncio.wait({gone}, timeout=self.work_s)
            if done:
                self.record(f"runner {self.id} drops {attempt}: its channel has closed")
                return False
            fields = base + [("Runner-Signature", f"s.{attempt}"), ("Content-Type", "text/plain")]
            writer.write(answer(200, fields, f"body of {attempt}".encode().ljust(800, b".")))
            await writer.drain()
            self.finished.add(attempt)
            return True
        finally:
            self.active -= 1
            if gone is not None and not gone.done():
                gone.cancel()
                try:
                    await gone
                except asyncio.CancelledError:
                    pass

    async def _stream(self, request, base, attempt, counts, writer):
        if self.prefill_per_s:
            async with self.prefill:
                await asyncio.sleep(counts[0] / self.prefill_per_s)
        head = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in base]
        head += [f"Runner-Signature: s.{attempt}", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked", "Weight-Versions: 1"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        first = int(request.get("Last-Event-Id", "0") or 0)
        events = -(-counts[1] // self.tokens_per_event)
        for number in range(first + 1, events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            self.delivered[attempt] = number
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.finished.add(attempt)
        return True


# Gateways.


def render(template, fields):
    """Fills in a template as DEPLOY.md says: values, sections and inverted
    sections."""

    def look(name, scopes):
        if name == ".":
            return scopes[0]
        for scope in scopes:
            value = scope
            for key in name.split("."):
                if isinstance(value, dict) and key in value:
                    value = value[key]
                elif isinstance(value, list) and key.isdigit() and int(key) < len(value):
                    value = value[int(key)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def fill(text, scopes):
        def section(match):
            value = look(match[2], scopes)
            if match[1] == "^":
                return "" if value else fill(match[3], scopes)
            if value is None or value is False:
                return ""
            items = value if isinstance(value, list) else [value]
            return "".join(fill(match[3], [item] + scopes) for item in items)

        def plain(match):
            value = look(match[1], scopes)
            if isinstance(value, list):
                return ",".join(str(v) for v in value)
            return "" if value is None else str(value)

        text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
        return re.sub(r"\{\{([\w.]+)\}\}", plain, text)

    return fill(template, [fields])


BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "downgrade_slack_ms": 250, "outer_ms": 5000, "revoke_strict": "false", "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 58, "recovery_s": 12,
    "pass_ms": 120, "retry_after_s": 9.7, "settle_ms": 1500,
}


def deploy_command():
    """The run command of the role and its template, from the deploy file."""
    text = open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8").read()
    run = re.search(r'^run = "(.*)"', text, flags=re.M)[1]
    template = re.search(r'^template = "(.*)"', text, flags=re.M)[1]
    return run.split(" "), os.path.join(ROOT, template)


class Gateway:
    """One gateway process. Settings: DEPLOY.md with the figures of a small
    machine of a sheet."""

    def __init__(self, record, folder, name, store, zone="z-a", memory_mb=195, max_fds=3075,
                 link_mbps=750):
        self.record = record
        self.name = name
        self.process = None
        self.ends = []  # exit codes of ends that nobody asked for
        self.memory_mb = memory_mb
        ports = free_ports(3)
        self.address = f"{HOST}:{ports[0]}"
        self.port = ports[0]
        self.ready_port = ports[1]
        self.metrics_port = ports[2]
        fields = {
            "node_name": name, "role": "gateway", "machine_class": "front", "ip": HOST,
            "zone": zone, "region": "r", "internal_ports": [ports[2], ports[2]],
            "listen": {"front": self.address, "readiness": f"{HOST}:{ports[1]}"},
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": memory_mb,
                       "max_fds": max_fds, "link_mbps": link_mbps, "disk_mb": 0},
            "bounds": BOUNDS,
            "platform": {"address": store.address, "form": "log", "writes_per_s": 800,
                         "reads_per_s": 2000, "parts": 12, "append_ms": 2.0},
        }
        command, template = deploy_command()
        self.file = os.path.join(folder, f"{name}.ini")
        with open(self.file, "w", encoding="utf-8") as out:
            out.write(render(open(template, encoding="utf-8").read(), fields))
        self.command = [os.path.join(ROOT, command[0])] + [
            self.file if word.startswith("/etc/") else word for word in command[1:]
        ]
        self.log = os.path.join(folder, f"{name}.log")

    async def start(self):
        out = open(self.log, "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
               "FUCHSIADRUM_SETTINGS": self.file}
        self.process = await asyncio.create_subprocess_exec(
            *self.command, stdout=out, stderr=out, cwd=ROOT, env=env)
        out.close()
        self.record(f"gateway {self.name} started, process {self.process.pid}")
        return self

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def memory(self):
        """Resident memory in MB."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1024 / 1e6
        except (OSError, ValueError):
            pass
        return 0.0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready_port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            found = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return found is not None and " 200 " in found.first
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def stop(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


# Clients.


class Channel:
    """A client's channel to a gateway."""

    def __init__(self, port):
        self.port = port
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
        return self

    def send(self, method, host, path, fields, body=b""):
        head = [f"{method} {path} HTTP/1.1", f"Host: {host}"] + [f"{k}: {v}" for k, v in fields]
        if body or method != "GET":
            head.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body)

    async def receive(self, seconds=15):
        """The answer; None if the channel ends without a whole one."""
        try:
            return await asyncio.wait_for(read_message(self.reader), seconds)
        except asyncio.TimeoutError:
            return None

    def close(self):
        if self.writer is not None:
            self.writer.close()

    def reset(self):
        if self.writer is not None:
            self.writer.transport.abort()


def status_of(message):
    return int(message.first.split(" ")[1]) if message is not None else 0


def config(version, routes, services, tenants):
    """A config as the operator writes it."""
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": tenants,
    }


def route(name, prefix, kind, service, timeout_ms, attempts=1, **more):
    return {"name": name, "host": "ficu95.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 300, "priority": 1, "service": service,
            "max_attempts": attempts, "anonymous": False, "affinity": False, "resumable": False,
            **more}


ENGINE = {"slots": 64, "kv_capacity_tokens": 410063, "kv_token_bytes": 18432,
          "link_mbps": 370000.0, "moves": True, "backups": True, "stride": 5, "most": 12,
          "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}


def service(name, engine=None, max_connections=370):
    out = {"name": name, "health_path": "/health", "max_connections": max_connections,
           "protocol": "h1", "tls": False}
    if engine is not None:
        out["engine"] = engine
    return out


class Link:
    """A link to `port` that can be cut for a time. New channels open after the
    cut. What was sent on an older channel arrives when TCP sends it again, for
    which the sender's timer is set."""

    def __init__(self, port):
        self.port = port
        self.cut_until = 0.0
        self.resent_at = 0.0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.own_port = self.server.sockets[0].getsockname()[1]
        return self

    def cut(self, seconds, resent_after):
        now = time.monotonic()
        self.cut_until = now + seconds
        self.resent_at = now + resent_after

    async def _serve(self, reader, writer):
        opened_at = max(time.monotonic(), self.cut_until)
        await asyncio.sleep(max(0.0, self.cut_until - time.monotonic()))
        far_reader, far_writer = await asyncio.open_connection(HOST, self.port)
        await asyncio.gather(self._pump(reader, far_writer, opened_at),
                             self._pump(far_reader, writer, opened_at), return_exceptions=True)

    async def _pump(self, reader, writer, opened_at):
        while True:
            data = await reader.read(65536)
            while opened_at < self.cut_until and time.monotonic() < self.resent_at:
                await asyncio.sleep(0.005)
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()


async def heartbeats(store, runners, period=1.2):
    """Writes the runners' entries as they do themselves."""
    while True:
        for runner in runners:
            store.put("keyed.servers", runner.id, runner.entry())
        await asyncio.sleep(period)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(main, folder):
    """Runs the case for 115 s at most; exits with its code, 2 if it failed to
    run."""
    import shutil
    import tempfile

    record = Record(os.path.join(folder, "record.txt"))
    scratch = tempfile.mkdtemp(prefix="review-")
    gateways = []

    async def bounded():
        try:
            return await asyncio.wait_for(main(record, scratch, gateways), 115)
        finally:
            for gateway in gateways:
                await gateway.stop()

    try:
        code = asyncio.run(bounded())
    except Exception as error:  # The case could not run.
        record.say(f"could not run: {type(error).__name__}: {error}")
        code = 2
    record.say({0: "HELD", 1: "BROKEN"}.get(code, "COULD NOT RUN"))
    if os.environ.get("KEEP_LOGS"):
        shutil.copytree(scratch, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    shutil.rmtree(scratch, ignore_errors=True)
    sys.exit(code)
