"""Stand-in workers that hold models, as PROTOCOL.md, `Many models`, describes them: sound ones."""
import json
import threading
import time

from workers import Worker


class ModelWorker(Worker):
    """Carries out one order at a time, refuses what it doesn't hold with 421, and streams events."""

    def __init__(self, record, ip, port, plant, zone, models, held, room_mb=220000.0, places=8, events=5, pause_s=0.05,
                 first_s=0.05):
        self.models = models
        self.held = {model: set() for model in held}
        self.had = set(held)
        self.room_mb, self.places = room_mb, places
        self.events, self.pause_s, self.first_s = events, pause_s, first_s
        self.sequence, self.fence, self.busy_until, self.order = 0, 0, 0.0, None
        self.orders = []
        self.breaches = []
        super().__init__(record, ip, port, plant, zone, 0.0, slots=64)

    def holdings(self):
        return [{"label": model, "revision": 1, "adapters": sorted(adapters)} for model, adapters in self.held.items()]

    def unit(self, condition="ready"):
        with self.lock:
            return {**super().unit(condition), "phase": "both", "models": self.holdings()}

    def answer(self, connection, method, path, headers, body):
        keep = headers.get("connection", "").lower() != "close"
        if path == "/api/report":
            with self.lock:
                report = {"phase": "both", "models": self.holdings(), "saturated": self.order is not None,
                          "sequence": self.sequence, "queued": 0, "active": self.running, "cache_used": 0,
                          "cache_total": 157145, "handles": 0}
            self.send(connection, 200, {"Content-Type": "application/json"}, json.dumps(report).encode())
            return keep
        if path == "/api/order" and method == "POST":
            status = 421 if headers.get("x-expect-unit", self.ident) != self.ident else self.take_order(json.loads(body))
            self.send(connection, status, {"Content-Type": "application/json"}, b"{}")
            return keep
        trial = headers.get("x-trial-id", "")
        name, _, adapter = headers.get("x-model", "").partition("/")
        with self.lock:
            there = name in self.held and (not adapter or adapter in self.held[name])
        if path != "/probe" and headers.get("x-expect-unit", self.ident) == self.ident and not there:
            self.send(connection, 421, {"X-Trial-Id": trial, "X-Not-Run": "1"})
            return keep
        return super().answer(connection, method, path, headers, body)

    def take_order(self, order):
        with self.lock:
            self.orders.append((time.monotonic(), order))
            self.record.write(f"order {json.dumps(order)} at {self.ident}")
            if "holder" not in order or "fence" not in order or order.get("operation") not in ("load", "unload"):
                return 400
            if order["fence"] < self.fence:
                return 412
            self.fence = order["fence"]
            if self.order is not None or order.get("expected", self.sequence) != self.sequence:
                return 409
            model, adapter = order["model"], order.get("adapter")
            if order["operation"] == "load":
                if model in self.held and (adapter is None or adapter in self.held[model]):
                    return 200
                if model not in self.models or (adapter is not None and model not in self.held):
                    return 400
                taken = sum(self.models[held]["weights_mb"] + self.models[held]["adapter_mb"] * len(adapters)
                            for held, adapters in self.held.items())
                count = sum(len(adapters) for adapters in self.held.values())
                more = self.models[model]["weights_mb"] if adapter is None else self.models[model]["adapter_mb"]
                if taken + more > self.room_mb or (adapter is not None and count + 1 > self.places):
                    self.breaches.append(order)
                    self.record.write(f"LIMIT breach at {self.ident}")
                took = 0.01 if adapter else self.models[model]["load_s"] * (0.2 if model in self.had else 1)
            else:
                if model not in self.held or (adapter is not None and adapter not in self.held[model]):
                    return 200
                took = 0.05
            self.sequence += 1
            self.order = order
            threading.Timer(took, self.end_order, (order,)).start()
            return 202

    def end_order(self, order):
        with self.lock:
            model, adapter = order["model"], order.get("adapter")
            if order["operation"] == "load":
                self.held.setdefault(model, set())
                self.had.add(model)
                if adapter is not None:
                    self.held[model].add(adapter)
            elif adapter is not None:
                self.held.get(model, set()).discard(adapter)
            else:
                self.held.pop(model, None)
            self.order = None

    def pause(self, number):
        """The time after an event."""
        time.sleep(self.pause_s)

    def run(self, connection, trial, load, keep, body):
        connection.sendall(f"HTTP/1.1 200 OK\r\nX-Trial-Id: {trial}\r\nX-Server-Seal: seal.{trial}\r\n"
                           f"X-Unit-Load: {load}\r\nX-Weight-Revisions: 1\r\nContent-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n".encode())
        time.sleep(self.first_s)
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {trial}\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            self.pause(number)
        connection.sendall(b"0\r\n\r\n")
        self.record.write(f"answered {trial} by {self.ident}")
        return keep
