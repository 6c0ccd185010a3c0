"""A runner as a process of its own, whose answers have no length.

    unframed_runner.py PORT NAME

Each answer ends with its channel. Its body is written in two parts, with work
between them. A line "runs ID" on the standard output tells that the first part
is written. The caller enters the runner in the store.
"""

import socketserver
import sys
import time

NAME = sys.argv[2]
PART = 400
WORK_S = 0.25


def whole_body(attempt):
    return ("%s;" % attempt).encode().ljust(2 * PART, b"b")


class Handler(socketserver.StreamRequestHandler):
    disable_nagle_algorithm = True

    def handle(self):
        line = self.rfile.readline().decode("latin-1")
        fields = {}
        while True:
            text = self.rfile.readline().decode("latin-1").strip()
            if not text:
                break
            name, value = text.split(":", 1)
            fields[name.lower()] = value.strip()
        if not line:
            return
        self.rfile.read(int(fields.get("content-length", 0)))
        if line.startswith("GET /health"):
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return
        attempt = fields.get("attempt-id", "")
        if fields.get("expect-runner", NAME) != NAME:
            self.wfile.write(("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\n"
                              "Content-Length: 0\r\nConnection: close\r\n\r\n" % attempt).encode())
            return
        body = whole_body(attempt)
        self.wfile.write(("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nRunner-Signature: %s.%s\r\n"
                          "Connection: close\r\n\r\n" % (attempt, NAME, attempt)).encode())
        self.wfile.write(body[:PART])
        print("runs %s" % attempt, flush=True)
        time.sleep(WORK_S)
        self.wfile.write(body[PART:])


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 64


if __name__ == "__main__":
    Server(("127.0.0.1", int(sys.argv[1])), Handler).serve_forever()
