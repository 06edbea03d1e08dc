"""Stand-in workers for services without models, as PROTOCOL.md, `Workers`, describes them: sound ones."""
import json
import socket
import threading
import time


class Worker:
    """One life of a worker: serves one request at a time on each connection, tells its load and who it is."""

    def __init__(self, record, ip, port, plant, zone, work_s, slots=16):
        self.record, self.plant, self.zone, self.work_s, self.slots = record, plant, zone, work_s, slots
        self.ident = f"i-{plant}-{ip.rsplit('.', 1)[1]}"
        self.address = f"{ip}:{port}"
        self.lock = threading.Lock()
        self.running = 0
        self.runs = []
        self.listener = socket.create_server((ip, port), backlog=256)
        threading.Thread(target=self.accept, daemon=True).start()

    def unit(self, condition="ready"):
        """The worker's entry in the platform's list."""
        return {"ident": self.ident, "plant": self.plant, "address": self.address, "zone": self.zone, "revision": "v1",
                "capacity": self.slots, "condition": condition, "warmup_ms": 0}

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while True:
                request = self.read(reader)
                if request is None or not self.answer(connection, *request):
                    return
        except OSError:
            pass
        finally:
            reader.close()
            connection.close()

    def read(self, reader):
        line = reader.readline()
        if not line:
            return None
        method, path, _ = line.decode().split(" ", 2)
        headers = {}
        while (line := reader.readline()) not in (b"\r\n", b"\n", b""):
            name, value = line.decode().split(":", 1)
            headers[name.strip().lower()] = value.strip()
        body = reader.read(int(headers.get("content-length", 0)))
        return method, path, headers, body

    def send(self, connection, status, headers, body=b""):
        text = f"HTTP/1.1 {status} X\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        connection.sendall(text.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body)

    def answer(self, connection, method, path, headers, body):
        """Answers one request; False where the connection is closed after it."""
        keep = headers.get("connection", "").lower() != "close"
        if path == "/probe":
            self.send(connection, 200, {"X-Unit": self.ident, "X-Unit-Load": f"{self.running},0,{self.slots}"})
            return keep
        if path == "/api/report":
            report = {"phase": "both", "models": [], "saturated": False, "sequence": 0, "queued": 0,
                      "active": self.running, "cache_used": 0, "cache_total": 0, "handles": 0}
            self.send(connection, 200, {"Content-Type": "application/json"}, json.dumps(report).encode())
            return keep
        trial = headers.get("x-trial-id", "")
        if headers.get("x-expect-unit", self.ident) != self.ident:
            self.send(connection, 421, {"X-Trial-Id": trial, "X-Not-Run": "1"})
            return keep
        with self.lock:
            self.running += 1
            load = f"{self.running},0,{self.slots}"
            self.runs.append((trial, time.monotonic()))
        self.record.write(f"run {trial} at {self.ident}")
        try:
            return self.run(connection, trial, load, keep, body)
        finally:
            with self.lock:
                self.running -= 1

    def run(self, connection, trial, load, keep, body):
        time.sleep(self.work_s)
        self.send(connection, 200, {"X-Trial-Id": trial, "X-Server-Seal": f"seal.{trial}", "X-Unit-Load": load},
                  f"done {trial}".encode())
        self.record.write(f"answered {trial} by {self.ident}")
        return keep
