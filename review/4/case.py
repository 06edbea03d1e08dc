"""A service that no route needs any more is left out of the configuration while a worker of it is still at work."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common2"))
from clients import Try
from fleet import BOUNDS, CannotRun, Fleet, Record, replace
from workers import Worker

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, PATH = "ficu95.example", "/pufi791/"
DEADLINE_MS = 6000
WORK_S = 2.0


def route(plant):
    return {"label": "r-1", "host": HOST, "path_prefix": PATH, "mode": "idempotent", "deadline_ms": DEADLINE_MS,
            "setpoint_ms": 100, "precedence": 2, "plant": plant, "trials": 2}


def plant(label):
    return {"label": label, "probe": "/probe", "conn_limit": 110, "protocol": "h1", "tls": False}


def document(revision, route_plant, plants):
    return {"revision": revision, "route_table": [route(route_plant)], "plants": [plant(label) for label in plants],
            "constraints": {"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000}}


def send(fleet, record, name, each):
    return [Try(record, front, HOST, PATH + "hold", DEADLINE_MS, name) for front in fleet.fronts for _ in range(each)]


def lost_of(tries):
    for item in tries:
        item.thread.join()
    return sum(item.lost() for item in tries)


def await_runs(workers, tries):
    """Waits until all tries are at work, so that they were taken under the configuration in force."""
    until = time.monotonic() + 1
    while time.monotonic() < until:
        at_work = {trial for worker in workers for trial, _ in list(worker.runs)}
        if all(item.trial in at_work for item in tries):
            return
        time.sleep(0.005)
    raise CannotRun("not all tries are at work")


def main(record):
    fleet = Fleet(record)
    try:
        former = [Worker(record, fleet.ip(31 + place), 8080, "huvo11a", "vake", WORK_S) for place in range(2)]
        latter = [Worker(record, fleet.ip(41 + place), 8080, "wuno96b", "vake", WORK_S) for place in range(2)]
        fleet.platform.set([worker.unit() for worker in former + latter])
        fleet.start()
        if replace(fleet, document(1, "huvo11a", ["huvo11a", "wuno96b"]), 0, 20) != 200:
            raise CannotRun("the first configuration isn't taken")
        for front in fleet.fronts:
            fleet.await_ready(front)
        time.sleep(BOUNDS["contact_ms"] / 1000 + 1)
        before = send(fleet, record, "calm", 3)
        lost_before = lost_of(before)
        if any(item.status != 200 for item in before):
            raise CannotRun("not all is served in calm")
        beside = send(fleet, record, "beside", 3)
        await_runs(former, beside)
        if TROUBLE:
            # The route moves to another service, and the one that it leaves isn't needed any more.
            if replace(fleet, document(2, "wuno96b", ["wuno96b"]), 1) != 200:
                raise CannotRun("the second configuration isn't taken")
        lost_beside = lost_of(beside)
        time.sleep(1)
        ended = [(front.name, front.ended()) for front in fleet.fronts if front.ended() is not None]
        record.write(f"lost in calm {lost_before} of {len(before)}, beside the change {lost_beside} of {len(beside)}; "
                     f"processes that ended by themselves: {ended}")
        return 1 if ended or lost_beside > 3 * lost_before else 0
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
