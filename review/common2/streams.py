"""A stand-in client of streams: one try that reads events until the answer's end, or gives up after its patience."""
import socket
import threading
import time
import uuid

from fleet import FRONT_PORT


class Stream:
    """One try of a stream: the events that came, and whether the answer ended whole (its last chunk has come)."""

    def __init__(self, record, machine, host, path, deadline_ms, model, name, patience_s=2.4):
        self.record, self.machine, self.host, self.path = record, machine, host, path
        self.deadline_ms, self.model, self.name, self.patience_s = deadline_ms, model, name, patience_s
        self.trial = uuid.uuid4().hex[:16]
        self.status = None
        self.whole = False
        self.problem = ""
        self.numbers = []
        self.last_event = 0.0
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def begun(self):
        return bool(self.numbers)

    def gave_up(self):
        """True where this client ended the try, out of patience."""
        return self.problem == "TimeoutError"

    def run(self):
        begun = time.monotonic()
        self.record.write(f"send {self.name} {self.trial} {self.path} to {self.machine.name}")
        try:
            with socket.create_connection((self.machine.ip, FRONT_PORT), timeout=self.patience_s) as connection:
                self.ask(connection)
                with connection.makefile("rb") as reader:
                    self.read(reader)
        except (OSError, ValueError) as problem:
            self.problem = type(problem).__name__
        now = time.monotonic()
        self.record.write(f"end of {self.name} {self.trial}: {self.status} {'whole' if self.whole else 'not whole'} "
                          f"{self.problem} events {self.numbers} after {now - begun:.3f} s, "
                          f"{now - self.last_event if self.numbers else 0:.3f} s after the last event")

    def ask(self, connection):
        connection.sendall((f"POST {self.path} HTTP/1.1\r\nHost: {self.host}\r\nX-Trial-Id: {self.trial}\r\n"
                            f"X-Model: {self.model}\r\nX-Tokens: 628,48\r\n"
                            f"X-Prompt-Prefix: 5c1e07a2:119,{self.trial}:509\r\nX-Deadline-Ms: {self.deadline_ms}\r\n"
                            "Content-Length: 2\r\n\r\n{}").encode())

    def read(self, reader):
        line = reader.readline()
        if not line:
            return
        self.status = int(line.split()[1])
        headers = {}
        while (line := reader.readline()) not in (b"\r\n", b""):
            name, value = line.decode().split(":", 1)
            headers[name.strip().lower()] = value.strip().lower()
        if headers.get("transfer-encoding") != "chunked":
            length = int(headers.get("content-length", 0))
            self.whole = len(reader.read(length)) == length
            return
        while size := reader.readline():
            length = int(size, 16)
            chunk = reader.read(length + 2)
            if length == 0:
                self.whole = chunk == b"\r\n"
                return
            for part in chunk.split(b"\n"):
                if part.startswith(b"id:"):
                    self.numbers.append(int(part[3:]))
                    self.last_event = time.monotonic()
                    self.record.write(f"event {self.numbers[-1]} of {self.trial}")
