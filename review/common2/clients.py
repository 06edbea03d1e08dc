"""Stand-in clients: each request is one try with an id of its own, on a connection of its own."""
import http.client
import threading
import time
import uuid

from fleet import FRONT_PORT


class Try:
    """One try: its id, and how it ended."""

    def __init__(self, record, machine, host, path, deadline_ms, name):
        self.record, self.machine, self.host, self.path = record, machine, host, path
        self.deadline_ms, self.name = deadline_ms, name
        self.trial = uuid.uuid4().hex[:16]
        self.status = None
        self.body = b""
        self.problem = ""
        self.seconds = 0.0
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        begun = time.monotonic()
        self.record.write(f"send {self.name} {self.trial} {self.path} to {self.machine.name}")
        try:
            connection = http.client.HTTPConnection(self.machine.ip, FRONT_PORT, timeout=self.deadline_ms / 1000 + 1)
            connection.request("POST", self.path, body=b"{}",
                               headers={"Host": self.host, "X-Trial-Id": self.trial,
                                        "X-Deadline-Ms": str(self.deadline_ms)})
            answer = connection.getresponse()
            self.body = answer.read()
            self.status = answer.status
        except (OSError, http.client.HTTPException) as problem:
            self.problem = type(problem).__name__
        self.seconds = time.monotonic() - begun
        self.record.write(f"answer {self.name} {self.trial} from {self.machine.name}: "
                          f"{self.status if self.status is not None else 'none, ' + self.problem} "
                          f"after {self.seconds:.3f} s")

    def lost(self):
        """True where the connection ended, or nothing came, without a complete answer."""
        return self.status is None
