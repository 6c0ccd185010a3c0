"""Stand-ins for the platform's store, for runners and for clients.

They speak what PROTOCOL.md says, on loopback addresses and free ports. A case
derives its runners from Runner and decides in them what a runner does.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

HOST = "127.0.0.1"
REPOSITORY = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Bounds of the site coral-andina, as its sheet and settings give them.
BOUNDS = {
    "contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
    "retry_budget_slack": 58, "recovery_s": 12, "settle_ms": 1500,
}


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.add(text)
        print(text, flush=True)


class Head:
    """First line and header fields of a request or an answer."""

    def __init__(self, text):
        lines = text.split("\r\n")
        self.first = lines[0]
        self.fields = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                self.fields.append((name.strip(), value.strip()))

    def get(self, name, default=None):
        for field, value in self.fields:
            if field.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Reads one head; None if the peer has closed the connection before."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Head(raw[:-4].decode("latin-1"))


async def read_chunk(reader):
    """Reads one chunk; b"" for the last one."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, head):
    if (head.get("Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    return await reader.readexactly(int(head.get("Content-Length") or 0))


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Server:
    """Base of the servers: one task for each connection."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.writers = set()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.accept, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's log: partitions, conditional appends, producers."""

    APPEND_S = 0.002

    class Partition:
        def __init__(self):
            self.records = []
            self.producers = {}
            self.lock = asyncio.Lock()

    def __init__(self):
        super().__init__()
        self.partitions = {}
        self.grown = asyncio.Event()

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, part), Store.Partition())

    def put(self, topic, key, value):
        """Writes a record as the operator or a runner does."""
        data = json.dumps(value).encode()
        record = bytes([len(key)]) + key.encode() + data
        self.partition(topic, 0).records.append(record)
        self.notify()

    def notify(self):
        self.grown.set()
        self.grown = asyncio.Event()

    async def serve(self, reader, writer):
        while head := await read_head(reader):
            body = await read_body(reader, head)
            method, target, _ = head.first.split(" ")
            url = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(url.query))
            status, answer = await self.answer(method, url.path, query, body)
            if isinstance(answer, dict):
                answer = json.dumps(answer).encode()
            writer.write(b"HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n" %
                         (status, len(answer)) + answer)
            await writer.drain()

    async def answer(self, method, path, query, body):
        part = self.partition(query.get("topic"), int(query.get("part", 0)))
        if (method, path) == ("POST", "/log-append"):
            async with part.lock:
                await asyncio.sleep(self.APPEND_S)
                return self.append(part, query, body)
        if (method, path) == ("GET", "/log-read"):
            return await self.read(part, query)
        if (method, path) == ("GET", "/log-newest"):
            return self.newest(part, query)
        return 404, {"error": "no such call"}

    def append(self, part, query, body):
        end = len(part.records)
        producer = query.get("producer")
        state = None
        if producer:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            state = part.producers.get(producer)
            if state and epoch < state["epoch"]:
                return 409, {"reason": "fenced"}
            if not state or epoch > state["epoch"]:
                state = {"epoch": epoch, "next": sequence, "answers": {}}
            if body and sequence in state["answers"]:
                return 200, state["answers"][sequence]
            if body and sequence != state["next"]:
                return 409, {"reason": "seq", "sequence": state["next"]}
            if not body:
                part.producers[producer] = state
                return 200, {"offset": end, "end_offset": end}
        if "at" in query and int(query["at"]) != end:
            return 412, {"end_offset": end}
        while body:
            size = struct.unpack(">I", body[:4])[0]
            part.records.append(body[4:4 + size])
            body = body[4 + size:]
        answer = {"offset": end, "end_offset": len(part.records)}
        if state is not None:
            state["answers"][sequence] = answer
            state["answers"].pop(sequence - 5, None)
            state["next"] = sequence + 1
            part.producers[producer] = state
        self.notify()
        return 200, answer

    async def read(self, part, query):
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(part.records) <= start and time.monotonic() < until:
            grown = self.grown
            try:
                await asyncio.wait_for(grown.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        body = struct.pack(">QQ", len(part.records), 0)
        for record in part.records[start:]:
            body += struct.pack(">I", len(record)) + record
        return 200, body

    @staticmethod
    def newest(part, query):
        found = {}
        for offset, record in enumerate(part.records):
            size = record[0]
            key, value = record[1:1 + size], record[1 + size:]
            found.pop(key, None)
            if value:
                found[key] = (value, offset)
        items = [{"key": key.decode("latin-1"), "offset": offset,
                  "value": base64.b64encode(value).decode()}
                 for key, (value, offset) in sorted(found.items())]
        return 200, {"items": items, "more_pages": False,
                     "end_offset": len(part.records)}


class Runner(Server):
    """A runner: answers /health and calls `run` for all other requests."""

    HEARTBEAT_S = 1.2

    def __init__(self, record, store, name, service, zone="zone-a", slots=64):
        super().__init__()
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.running = 0
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.beats = None

    async def start(self, port=0):
        await super().start(port)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.sequence += 1
            self.announce()
            await asyncio.sleep(self.HEARTBEAT_S)

    def announce(self):
        self.store.put("keyed.servers", self.name, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "cold_left_ms": 0,
            "sequence": self.sequence, "born": self.born})

    async def serve(self, reader, writer):
        while head := await read_head(reader):
            body = await read_body(reader, head)
            if head.first.startswith("GET /health "):
                writer.write(b"HTTP/1.1 200 OK\r\nRunner-Id: %s\r\n"
                             b"Content-Length: 0\r\n\r\n" % self.name.encode())
                await writer.drain()
                continue
            expected = head.get("Expect-Runner")
            if expected not in (None, self.name):
                writer.write(self.head(head, 421, run=False) +
                             b"Content-Length: 0\r\n\r\n")
                await writer.drain()
                continue
            self.running += 1
            self.log(head, f"runs {head.first.rsplit(' ', 1)[0]}")
            try:
                await self.run(head, body, reader, writer)
            finally:
                self.running -= 1

    def log(self, head, text):
        self.record.add(f"{self.name}: request {head.get('Attempt-Id')} "
                        f"{text}")

    def head(self, request, status, run=True, extra=()):
        lines = [f"HTTP/1.1 {status} Status",
                 f"Attempt-Id: {request.get('Attempt-Id')}"]
        if run:
            lines.append(f"Runner-Signature: {self.name}.1")
        else:
            lines.append("Not-Executed: 1")
            lines.append(f"Runner-Id: {self.name}")
        lines.append(f"Runner-Load: {self.running},0,{self.slots}")
        lines.extend(extra)
        return ("\r\n".join(lines) + "\r\n").encode()

    async def run(self, head, body, reader, writer):
        raise NotImplementedError

    async def stream(self, head, reader, writer, events, pause_s):
        """Answers with events first..events, one each `pause_s`."""
        first = int(head.get("Last-Event-Id") or 0) + 1
        writer.write(self.head(head, 200, extra=[
            "Content-Type: text/event-stream", "Transfer-Encoding: chunked"])
            + b"\r\n")
        closed = asyncio.create_task(reader.read(1))
        sent = first - 1
        try:
            for number in range(first, events + 1):
                await asyncio.wait([closed], timeout=pause_s)
                if closed.done():
                    self.log(head, f"stops after event {sent}: "
                             "the channel was closed")
                    raise ConnectionResetError
                writer.write(chunk(b"id: %d\ndata: word %d\n\n" %
                                   (number, number)))
                await writer.drain()
                sent = number
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.log(head, f"ends whole after event {sent}")
        finally:
            closed.cancel()
            try:
                await closed
            except (asyncio.CancelledError, ConnectionError):
                pass


class Answer:
    """What a client has seen of the answer to one request."""

    def __init__(self):
        self.status = 0
        self.head = None
        self.body = b""
        self.whole = False

    @property
    def events(self):
        return len(re.findall(rb"^id: \d+$", self.body, re.M))

    def text(self):
        end = "whole" if self.whole else "the channel ended before its end"
        return f"status {self.status}, {self.events} events, {end}"


class Channel:
    """One client channel to a gateway; it carries a request at a time."""

    COUNT = 0

    def __init__(self, record, port):
        self.record = record
        self.port = port
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            HOST, self.port, limit=1 << 20)
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None

    async def send(self, method, path, key=None, deadline_ms=5000, body=b"",
                   fields=(), name=None):
        """Sends one request and returns its id and its Answer."""
        if self.writer is None:
            await self.open()
        Channel.COUNT += 1
        attempt = name or f"{Channel.COUNT:016x}"
        lines = [f"{method} {path} HTTP/1.1", "Host: shop.example",
                 f"Attempt-Id: {attempt}", f"Deadline-Ms: {deadline_ms}"]
        if key:
            lines.append(f"Key: {key}")
        lines.extend(fields)
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.record.add(f"client: request {attempt} sent: {method} {path}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        answer = Answer()
        try:
            await self.writer.drain()
            await self.read(answer)
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            if isinstance(error, asyncio.IncompleteReadError):
                answer.body += error.partial
        self.record.add(f"client: request {attempt} gets {answer.text()}")
        closes = answer.head is None or not answer.whole or (
            (answer.head.get("Connection") or "").lower() == "close")
        if closes:
            self.close()
        return attempt, answer

    async def read(self, answer):
        answer.head = await read_head(self.reader)
        if answer.head is None:
            return
        answer.status = int(answer.head.first.split(" ")[1])
        coding = (answer.head.get("Transfer-Encoding") or "").lower()
        length = answer.head.get("Content-Length")
        if coding == "chunked":
            while data := await read_chunk(self.reader):
                answer.body += data
        elif length is not None:
            answer.body = await self.reader.readexactly(int(length))
        else:
            while data := await self.reader.read(65536):
                answer.body += data
        answer.whole = True


# Below the ports that the kernel gives to connections by itself, so that a
# gateway finds its ports free after a restart.
FIRST_PORT, LAST_PORT = 12000, 32000
taken_ports = set()


def free_port():
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port in taken_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        taken_ports.add(port)
        return port


class Gateway:
    """The gateway as a process, started as the deploy file says."""

    def __init__(self, record, folder, store, name, zone="zone-a"):
        self.record = record
        self.folder = folder
        self.name = name
        self.process = None
        self.front = free_port()
        self.readiness = free_port()
        self.values = {
            "node_name": name, "zone": zone, "ip": HOST,
            "limits.link_mbps": 1000.0, "limits.memory_mb": 260,
            "listen.front": f"{HOST}:{self.front}",
            "listen.readiness": f"{HOST}:{self.readiness}",
            "internal_ports.0": free_port(),
            "platform.address": store.address, "platform.parts": 12,
            "platform.writes_per_s": 800,
        }
        for bound, value in BOUNDS.items():
            self.values[f"bounds.{bound}"] = value
        with open(f"{REPOSITORY}/deploy/system.toml", "rb") as file:
            self.role = tomllib.load(file)["roles"]["gateway"]
        self.settings = f"{folder}/{name}.ini"
        with open(f"{REPOSITORY}/{self.role['template']}",
                  encoding="utf-8") as file:
            template = file.read()
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(re.sub(r"\{\{([^}]+)\}\}",
                              lambda m: str(self.values[m[1]]), template))

    async def start(self):
        """Starts the process; the settings lie in the temporary folder."""
        command = [self.settings if "settings.toml" in word else word
                   for word in self.role["run"].split()]
        log = open(f"{self.folder}/{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=REPOSITORY, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""),
                 "FUCHSIADRUM_SETTINGS": self.settings})
        log.close()
        self.record.add(f"{self.name}: started")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self.readiness)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and " 200 " in head.first + " "
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                self.record.add(f"{self.name}: ready")
                return
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} has ended")
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def send_signal(self, number):
        self.record.add(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class CannotRun(Exception):
    """The case could not be run."""


def run_case(folder, case):
    """Runs `case(record, temporary folder, trouble, processes)`.

    It adds what it starts to `processes` and returns True if the rule held.
    Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not
    run. KEEP_LOGS names a folder that gets the gateways' settings and logs.
    """
    record = Record(f"{folder}/record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    processes = []

    async def main():
        # A signal to end the script ends its processes, too.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as temporary:
            try:
                return await asyncio.wait_for(
                    case(record, temporary, trouble, processes), 110)
            finally:
                for process in processes:
                    await process.end()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    os.makedirs(keep, exist_ok=True)
                    for name in os.listdir(temporary):
                        with open(f"{temporary}/{name}", "rb") as source:
                            with open(f"{keep}/{name}", "wb") as target:
                                target.write(source.read())

    try:
        held = asyncio.run(main())
    except (CannotRun, OSError, asyncio.TimeoutError,
            asyncio.CancelledError) as error:
        record.say(f"the case could not run: {error!r}")
        sys.exit(2)
    record.say("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)


class ChildRunner:
    """A runner as a process of its own, which a case may kill.

    The process runs `script` with the runner's name and service. It prints
    its port first and then a line for the record whenever it does something.
    """

    def __init__(self, record, store, script, name, service, zone="zone-a"):
        self.record = record
        self.store = store
        self.script = script
        self.entry = {"service": service, "zone": zone, "version": "v1",
                      "slots": 64, "state": "ready", "cold_left_ms": 0,
                      "sequence": 0, "born": int(time.time() * 1000)}
        self.name = name
        self.process = None
        self.tasks = []

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, self.script, self.name, self.entry["service"],
            stdout=asyncio.subprocess.PIPE)
        port = int(await self.process.stdout.readline())
        self.entry["address"] = f"{HOST}:{port}"
        self.tasks = [asyncio.create_task(self.beat()),
                      asyncio.create_task(self.copy_lines())]

    async def beat(self):
        """Writes the runner's entry, as long as the runner lives."""
        while self.process.returncode is None:
            self.announce()
            await asyncio.sleep(Runner.HEARTBEAT_S)

    def announce(self):
        self.entry["sequence"] += 1
        self.store.put("keyed.servers", self.name, self.entry)

    async def copy_lines(self):
        while line := await self.process.stdout.readline():
            self.record.add(line.decode().rstrip())

    def send_signal(self, number):
        self.record.add(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class PrintRecord:
    """The record of a child runner: lines on its standard output."""

    @staticmethod
    def add(text):
        print(text, flush=True)


def serve_child(runner_class):
    """Main function of a child runner's script."""

    async def main():
        runner = runner_class(PrintRecord(), None, sys.argv[1], sys.argv[2])
        await Server.start(runner)
        print(runner.port, flush=True)
        await asyncio.Event().wait()

    asyncio.run(main())
