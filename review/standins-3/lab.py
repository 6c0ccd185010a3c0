"""Stand-ins for the scripts of review/11, 12, 14 and 15.

A store (the platform's log), runners, clients, and gateways as processes. Only
what the operators' pages describe is done here; where they are silent, the
stand-ins behave like a sound platform, runner or client. Every address is a
loopback address.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.out = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.out.write("%8.3f s  %s\n" % (self.now(), text))
        self.out.flush()


async def read_head(reader):
    """Returns (first line, fields in lower case), or None at the end."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


class Partition:
    def __init__(self):
        self.records = []
        self.producers = {}
        self.changed = asyncio.Event()

    def append(self, contents):
        first = len(self.records)
        self.records.extend(contents)
        self.changed.set()
        self.changed = asyncio.Event()
        return first


class Store:
    """The platform's store: /log-append, /log-read, /log-newest."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.partitions = {}
        self.append_s = 0.002
        # While True, each call finds its channel reset, and nothing is done.
        self.is_down = False
        # Called for each answered read, with the offset after the last record
        # and the reader's channel.
        self.on_read = lambda topic, end, channel: None
        self.server = None

    @property
    def address(self):
        return "%s:%d" % (HOST, self.port)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def part(self, topic, number=0):
        return self.partitions.setdefault((topic, number), Partition())

    def put(self, topic, key, value):
        """Writes as the operator or a runner does; None deletes the key."""
        text = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        self.part(topic).append([bytes([len(name)]) + name + text])

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                verb, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                values = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
                if self.is_down:
                    writer.transport.abort()
                    return
                channel = writer.get_extra_info("peername")
                status, answer = await self.answer(path, values, body, channel)
                if self.is_down:
                    writer.transport.abort()
                    return
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(answer)) + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path, values, body, channel):
        part = self.part(values.get("topic", ""), int(values.get("part", 0)))
        if path == "/log-append":
            await asyncio.sleep(self.append_s)
            return self.do_append(part, values, body)
        if path == "/log-read":
            status, text = await self.do_read(part, values)
            self.on_read(values.get("topic", ""), len(part.records), channel)
            return status, text
        if path == "/log-newest":
            return self.do_newest(part)
        return 404, b"{}"

    @staticmethod
    def do_append(part, values, body):
        contents = []
        while body:
            (size,) = struct.unpack(">I", body[:4])
            contents.append(body[4:4 + size])
            body = body[4 + size:]
        producer = values.get("producer")
        state = None
        if producer is not None:
            epoch, sequence = int(values["epoch"]), int(values["sequence"])
            state = part.producers.get(producer)
            if state is None:
                state = part.producers[producer] = {"epoch": -1, "next": 0, "last": {}}
            if epoch < state["epoch"]:
                return 409, b'{"reason":"fenced"}'
            if epoch > state["epoch"]:
                state.update(epoch=epoch, next=sequence, last={})
            if not contents:
                return 200, json.dumps({"offset": len(part.records),
                                        "end_offset": len(part.records)}).encode()
            if sequence in state["last"]:
                return 200, state["last"][sequence]
            if sequence != state["next"]:
                return 409, json.dumps({"reason": "seq", "sequence": state["next"]}).encode()
        if "at" in values and int(values["at"]) != len(part.records):
            return 412, json.dumps({"end_offset": len(part.records)}).encode()
        first = part.append(contents)
        answer = json.dumps({"offset": first, "end_offset": len(part.records)}).encode()
        if state is not None:
            state["next"] += 1
            state["last"][sequence] = answer
            state["last"].pop(sequence - 5, None)
        return 200, answer

    @staticmethod
    async def do_read(part, values):
        start = int(values["from"])
        wait = int(values.get("wait_ms", 0)) / 1000
        if start >= len(part.records) and wait > 0:
            try:
                await asyncio.wait_for(part.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        limit = int(values.get("max_kb", 1024)) * 1024
        out = b""
        for content in part.records[start:]:
            if out and len(out) + 4 + len(content) > limit:
                break
            out += struct.pack(">I", len(content)) + content
        return 200, struct.pack(">QQ", len(part.records), 0) + out

    @staticmethod
    def do_newest(part):
        newest = {}
        for offset, content in enumerate(part.records):
            size = content[0]
            key, value = content[1:1 + size], content[1 + size:]
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        items = [{"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (value, offset) in sorted(newest.items())]
        return 200, json.dumps({"items": items, "more_pages": False,
                                "end_offset": len(part.records)}).encode()


class Runner:
    """A runner that registers itself and runs one request a channel.

    `plan(fields)` returns the pauses, in seconds, before each event of the
    stream that answers a request, or a number: the seconds until a plain
    answer. A runner that does not drop a request at once when its channel
    closes finds that out when it writes the next event. The streams of a runner
    that is not `framed` have no length and end with their channel.
    """

    def __init__(self, record, store, name, service, zone, plan, drops_at_once=True, framed=True):
        self.record, self.store, self.name = record, store, name
        self.drops_at_once, self.framed = drops_at_once, framed
        self.service, self.zone, self.plan = service, zone, plan
        self.port = free_port()
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.slots = 64
        # True: the next answer says "Connection: close", and its channel ends.
        self.closes = False
        self.writers = set()
        self.running = 0
        self.runs = []
        self.server = None
        self.beat = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.beat = asyncio.ensure_future(self.heartbeat())

    def leave(self):
        """Its entry is removed; it never reports that it drains."""
        self.beat.cancel()
        self.store.put("keyed.servers", self.name, None)

    def drain(self):
        """Reports that it drains; it goes on serving what it has."""
        self.state = "draining"
        self.report()

    def exit(self):
        """Ends as a process does: the system closes its channels in order."""
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.store.put("keyed.servers", self.name, None)

    async def stop(self):
        """Ends the runner, and with it its channels."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def report(self):
        self.sequence += 1
        self.store.put("keyed.servers", self.name, {
            "service": self.service, "address": "%s:%d" % (HOST, self.port),
            "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
            "cold_left_ms": 0, "sequence": self.sequence, "born": self.born})

    async def heartbeat(self):
        while True:
            self.report()
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        writer.transport.set_write_buffer_limits(0)
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                await reader.readexactly(int(fields.get("content-length", 0)))
                await self.run(line, fields, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, line, fields, reader, writer):
        attempt = fields.get("attempt-id", "")
        if line.startswith("GET /health"):
            writer.write(("HTTP/1.1 200 OK\r\nRunner-Id: %s\r\nRunner-Load: %d,0,%d\r\n"
                          "Content-Length: 0\r\n\r\n" % (self.name, self.running, self.slots)).encode())
            return
        if fields.get("expect-runner", self.name) != self.name:
            writer.write(("HTTP/1.1 421 Misdirected Request\r\nRunner-Id: %s\r\nAttempt-Id: %s\r\n"
                          "Content-Length: 0\r\n\r\n" % (self.name, attempt)).encode())
            return
        if self.running >= self.slots:
            self.record.write("runner %s is full and rejects %s" % (self.name, attempt))
            writer.write(("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\n"
                          "Runner-Load: %d,0,%d\r\nContent-Length: 0\r\n\r\n" % (
                              attempt, self.running, self.slots)).encode())
            return
        resumed = fields.get("last-event-id")
        self.record.write("runner %s runs %s%s" % (
            self.name, attempt, "" if resumed is None else " after event " + resumed))
        run = {"id": attempt, "begun": self.record.now(), "end": None, "how": None, "sent": 0}
        self.runs.append(run)
        self.running += 1
        try:
            await self.answer(attempt, fields, reader, writer, run)
        finally:
            self.running -= 1
            run["end"] = self.record.now()
            self.record.write("runner %s: run of %s ends: %s, %d events" % (
                self.name, attempt, run["how"], run["sent"]))

    async def answer(self, attempt, fields, reader, writer, run):
        plan = self.plan(fields)
        closes, self.closes = self.closes, False
        head = ("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nRunner-Signature: %s.%s\r\n"
                "Runner-Load: %d,0,%d\r\n" % (attempt, self.name, attempt, self.running, self.slots))
        run["how"] = "its channel was closed"
        closed = asyncio.ensure_future(reader.read(1))
        try:
            if not isinstance(plan, list):
                if not await self.pause(plan, closed):
                    return
                body = ("answer of %s" % attempt).encode()
                writer.write((head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body)
                run["how"] = "answered"
                return
            first = int(fields.get("last-event-id", 0)) + 1
            framing = "Transfer-Encoding: chunked" if self.framed else "Connection: close"
            if self.framed and closes:
                framing += "\r\nConnection: close"
            writer.write((head + "Content-Type: text/event-stream\r\n%s\r\n\r\n" % framing).encode())
            for number in range(first, len(plan) + 1):
                # A run that goes on elsewhere has no reason to pause again.
                pause = plan[number - 1] if first == 1 else 0.05
                if not await self.pause(pause, closed):
                    return
                if writer.is_closing():
                    run["how"] = "the runner has ended"
                    return
                event = "id: %d\ndata: %s-%d\n\n" % (number, attempt, number)
                if self.framed:
                    event = "%x\r\n%s\r\n" % (len(event), event)
                writer.write(event.encode())
                await writer.drain()
                run["sent"] = number
            if self.framed:
                writer.write(b"0\r\n\r\n")
            if closes or not self.framed:
                writer.close()
            run["how"] = "complete"
        finally:
            if not closed.done():
                closed.cancel()
                try:
                    await closed
                except (asyncio.CancelledError, ConnectionError):
                    pass

    async def pause(self, seconds, closed):
        """Returns False if the channel was closed meanwhile."""
        if self.drops_at_once:
            await asyncio.wait([closed], timeout=seconds)
        else:
            await asyncio.sleep(seconds)
        return not closed.done()


class Gateway:
    """A gateway, started as the deploy file runs it."""

    def __init__(self, record, store, folder, name, zone, bounds=None):
        self.record, self.store, self.folder = record, store, folder
        self.name, self.zone = name, zone
        self.callers, self.readiness = free_port(), free_port()
        self.metrics = free_port()
        self.values = {
            "{{node_name}}": name, "{{zone}}": zone,
            "{{limits.link_mbps}}": "750.0", "{{limits.memory_mb}}": "195",
            "{{listen.front}}": "%s:%d" % (HOST, self.callers),
            "{{listen.readiness}}": "%s:%d" % (HOST, self.readiness),
            "{{ip}}:{{internal_ports.0}}": "%s:%d" % (HOST, self.metrics),
            "{{platform.address}}": store.address, "{{platform.parts}}": "12",
            "{{platform.writes_per_s}}": "800", "{{bounds.grace_s}}": "8",
            "{{bounds.retry_budget_ratio}}": "0.2", "{{bounds.retry_budget_slack}}": "58",
            "{{bounds.budget_window_s}}": "10", "{{bounds.drain_ms}}": "2000",
            "{{#limits.max_fds}}max_fds = {{.}}{{/limits.max_fds}}": "max_fds = 3075"}
        self.values.update(bounds or {})
        self.process = None
        self.starts = 0

    def settings(self):
        with open(os.path.join(ROOT, "deploy", "gateway.ini"), encoding="utf-8") as template:
            text = template.read()
        for place, value in self.values.items():
            text = text.replace(place, value)
        # What is left are sections for bounds that this deployment does not have.
        return "\n".join(line for line in text.split("\n") if "{{" not in line)

    def start(self):
        path = os.path.join(self.folder, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as out:
            out.write(self.settings())
        log = open(os.path.join(self.folder, "%s.%d.log" % (self.name, self.starts)), "wb")
        self.starts += 1
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target", "fuchsiadrum-gateway"), "--config", path],
            cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": self.folder, "FUCHSIADRUM_SETTINGS": path})
        log.close()

    def send_signal(self, number):
        self.record.write("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def wait_ready(self, limit=10.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if self.process.poll() is not None:
                return False
            try:
                reader, writer = await asyncio.open_connection(HOST, self.readiness)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head is not None and " 200 " in head[0] + " ":
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.1)
        return False


class Channel:
    """A client's channel, which it may use for several requests."""

    def __init__(self, record, gateway):
        self.record, self.gateway = record, gateway
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.gateway.callers)

    def close(self):
        if self.writer is not None:
            self.writer.close()

    async def ask(self, attempt, host, path, fields, body=b"", method="POST", limit_s=5.0):
        """Sends a request; returns what came back, as a dictionary."""
        text = "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n" % (
            method, path, host, attempt, int(limit_s * 1000))
        for name, value in fields.items():
            text += "%s: %s\r\n" % (name, value)
        if body or method != "GET":
            text += "Content-Length: %d\r\n" % len(body)
        sent = self.record.now()
        self.record.write("client sends %s to %s" % (attempt, self.gateway.name))
        result = {"id": attempt, "sent": sent, "status": None, "events": [], "whole": False,
                  "close": False, "retry_after": None, "signed": False}
        try:
            self.writer.write(text.encode() + b"\r\n" + body)
            await asyncio.wait_for(self.receive(result), limit_s + 1.0)
        except asyncio.TimeoutError:
            result["late"] = True
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        result["end"] = self.record.now()
        self.record.write("client has of %s: status %s, %d events, %s" % (
            attempt, result["status"], len(result["events"]),
            "whole" if result["whole"] else "NOT WHOLE"))
        return result

    async def receive(self, result):
        head = await read_head(self.reader)
        if head is None:
            return
        line, fields = head
        result["status"] = int(line.split(" ")[1])
        result["signed"] = "runner-signature" in fields
        result["close"] = fields.get("connection", "").lower() == "close"
        result["retry_after"] = fields.get("retry-after")
        if "content-length" in fields:
            result["body"] = await self.reader.readexactly(int(fields["content-length"]))
            result["whole"] = True
            return
        if "transfer-encoding" not in fields:
            # Ends with the channel; a reset raises an error.
            data = await self.reader.read(-1)
            result["events"] = [(int(line[3:]), self.record.now())
                                for line in data.split(b"\n") if line.startswith(b"id:")]
            result["whole"] = True
            return
        data = b""
        while True:
            size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
            data += (await self.reader.readexactly(size + 2))[:-2]
            while b"\n\n" in data:
                event, data = data.split(b"\n\n", 1)
                for part in event.split(b"\n"):
                    if part.startswith(b"id:"):
                        result["events"].append((int(part[3:]), self.record.now()))
            if size == 0:
                result["whole"] = True
                return


async def run_case(folder, body):
    """Runs `body(record, temporary folder, trouble)`; ends all gateways."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("with the disruption" if trouble else "without the disruption")
    gateways = []
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = await asyncio.wait_for(body(record, temporary, trouble, gateways), 110)
        except (OSError, asyncio.TimeoutError) as fault:
            record.write("the case could not run: %r" % (fault,))
            code = 2
        finally:
            for gateway in gateways:
                gateway.kill()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                subprocess.run(["cp", "-r", temporary, keep], check=False)
    record.write("result: %s" % {0: "the rule held", 1: "THE RULE WAS BROKEN"}.get(code, "not run"))
    return code


def main(file, body):
    sys.exit(asyncio.run(run_case(os.path.dirname(os.path.abspath(file)), body)))
