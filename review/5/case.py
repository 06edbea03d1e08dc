"""A begun stream whose worker pauses for 1.3 s, while the other holder of its model is full, after a SIGHUP."""
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common2"))
from fleet import BOUNDS, CannotRun, Fleet, Record, replace
from modelworkers import ModelWorker
from streams import Stream

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, PATH = "ficu95.example", "/lohu930/"
DEADLINE_MS = 12000
PAUSE_S = 1.3
EVENTS = 8
MODEL = {"label": "m0", "weights_mb": 65100.0, "load_s": 1.9, "adapters": 0, "adapter_mb": 12.0}


class PausingWorker(ModelWorker):
    """Puts a running request back once, in the middle of its stream, and reads it again."""

    def pause(self, number):
        time.sleep(PAUSE_S if TROUBLE and number == 3 else self.pause_s)


class FullWorker(ModelWorker):
    """Is full: turns requests away without running them."""

    def answer(self, connection, method, path, headers, body):
        if path.startswith("/api/") or path == "/probe":
            return super().answer(connection, method, path, headers, body)
        trial = headers.get("x-trial-id", "")
        self.record.write(f"turned away {trial} at {self.ident}")
        self.send(connection, 503, {"X-Trial-Id": trial, "X-Not-Run": "1", "X-Unit-Load": "64,192,64"})
        return headers.get("connection", "").lower() != "close"


def document():
    runtime = {"capacity": 64, "cache_tokens": 157145, "cache_token_bytes": 163840, "link_mbps": 1100000.0,
               "stride": 6, "models": [MODEL], "weights_mb": 220000.0, "adapter_capacity": 8, "loads_per_s": 4.2}
    route = {"label": "r-1", "host": HOST, "path_prefix": PATH, "mode": "stream", "deadline_ms": DEADLINE_MS,
             "setpoint_ms": 400, "precedence": 1, "plant": "huvo11a", "trials": 2, "pinned": True, "continue": True,
             "gap_setpoint_ms": 300}
    return {"revision": 1, "route_table": [route],
            "plants": [{"label": "huvo11a", "probe": "/probe", "conn_limit": 370, "protocol": "h1", "tls": False,
                        "runtime": runtime}],
            "constraints": {"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000}}


def main(record):
    fleet = Fleet(record)
    try:
        models = {"m0": MODEL}
        pausing = PausingWorker(record, fleet.ip(31), 8080, "huvo11a", "vake", models, ["m0"], events=EVENTS)
        full = FullWorker(record, fleet.ip(32), 8080, "huvo11a", "vake", models, ["m0"], events=EVENTS)
        fleet.platform.set([pausing.unit(), full.unit()])
        fleet.start()
        if replace(fleet, document(), 0, 20) != 200:
            raise CannotRun("the first configuration isn't taken")
        for front in fleet.fronts:
            fleet.await_ready(front)
        time.sleep(BOUNDS["contact_ms"] / 1000 + 1)
        streams = []
        for front in fleet.fronts:
            front.signal(signal.SIGHUP)
        time.sleep(0.2)
        for front in fleet.fronts:
            streams += [Stream(record, front, HOST, PATH + "chat", DEADLINE_MS, "m0", "hup") for _ in range(2)]
            time.sleep(0.1)
        for stream in streams:
            stream.thread.join()
        lost = [stream for stream in streams if stream.begun() and not stream.whole]
        record.write(f"{len(lost)} of {len(streams)} begun streams ended without a whole answer")
        return 1 if lost else 0
    finally:
        fleet.stop()


if __name__ == "__main__":
    trace = Record(FOLDER)
    try:
        STATUS = main(trace)
    except Exception as problem:  # What isn't foreseen is no verdict.
        trace.write(f"can't run: {type(problem).__name__}: {problem}")
        STATUS = 2
    trace.write(f"exit {STATUS}")
    sys.exit(STATUS)
