"""A planned stop of the only gateway of a zone, while its clients go on. See claim.txt."""
import http.client
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from deployment import GRACE_S, NAMES, TROUBLE, CannotRun, Deployment, run_case, wait_for  # noqa: E402
import standin_platform as platform  # noqa: E402

WORK_S = 5.0
INTERVAL_S = 0.1
AFTER_STOP_S = 9.0
# "a request that was sent no later than 3 s after the SIGTERM", "the last sixth of grace-s"
EXCUSED_SENT_S = 3.0
EXCUSED_WORK_S = GRACE_S * 5 / 6


class Counter(platform.Replica):
    """Each request takes WORK_S, and is dropped when its connection closes."""

    def __init__(self, store, replica_id, record, work):
        self.record, self.work = record, work
        super().__init__(store, replica_id, "counter")

    def run(self, request, body):
        request_id = request.headers[NAMES["id"]]
        begun = time.monotonic()
        self.record.write(self.replica_id, "runs", request_id)
        self.work[request_id] = [begun, None]
        request.connection.settimeout(WORK_S)
        try:
            gone = request.connection.recv(1) == b""
        except TimeoutError:
            gone = False
        request.connection.settimeout(None)
        self.work[request_id][1] = time.monotonic()
        if gone:
            self.record.write(self.replica_id, "loses the connection of", request_id)
            request.close_connection = True
            return
        self.record.write(self.replica_id, "answers", request_id)
        request.respond(200, b"deposit " + body, self.headers(request))


def configuration():
    return {
        "version": 1,
        "routes": [{"name": "deposits", "host": "h.example", NAMES["prefix"]: "/deposits/", "kind": "non_idempotent",
                    "timeout-ms": 10000, "target-latency-ms": 6000, "priority": 2, "service": "counter",
                    NAMES["attempts"]: 3}],
        "services": [{"name": "counter", "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": False}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000}}


class Balancer:
    """The platform's choice of a gateway for a new connection from zone-a: asks each second whether the zone's
    gateway is ready, and takes it out after two misses. Since fewer than half of the zone's gateways are in rotation
    then, all of the zone's are used: this one. A connection that is refused goes to the nearest zone."""

    def __init__(self, deployment, record):
        self.own, self.other = deployment.gateways
        self.record = record
        threading.Thread(target=self.ask, daemon=True).start()

    def ask(self):
        misses = 0
        while True:
            misses = 0 if self.own.is_ready() else misses + 1
            if misses in (1, 2):
                self.record.write("gateway of zone-a is not ready,", misses, "in a row")
            time.sleep(1)

    def connect(self):
        for machine in (self.own, self.other):
            connection = http.client.HTTPConnection(machine.ip, machine.front, timeout=12)
            try:
                connection.connect()
                return machine.name, connection
            except OSError:
                connection.close()
        raise CannotRun("no gateway accepts connections")


def client(request_id, balancer, record, sent):
    """Sends one request. Its answer or the end of its connection goes into sent."""
    machine, connection = balancer.connect()
    entry = {"machine": machine, "at": time.monotonic(), "answer": None, "ended": None}
    sent[request_id] = entry
    record.write("client sends", request_id, "to", machine)
    try:
        connection.request("POST", "/deposits/1", b"one", {"Host": "h.example", NAMES["id"]: request_id,
                                                           NAMES["deadline"]: "10000"})
        response = connection.getresponse()
        response.read()
        entry["answer"] = response.status
    except (OSError, http.client.HTTPException) as error:
        entry["answer"] = repr(error)
    entry["ended"] = time.monotonic()
    record.write("client gets", entry["answer"], "to", request_id)
    connection.close()


def case(record, folder):
    store = platform.ObjectStore()
    work, sent, threads = {}, {}, []
    replicas = [Counter(store, "c%d" % i, record, work) for i in range(8)]
    store.put("config", "main", configuration())
    deployment = Deployment(store.address, ["zone-a", "zone-b"], folder)
    deployment.wait_until_ready()
    balancer = Balancer(deployment, record)
    gateway = deployment.gateways[0]
    start = time.monotonic()
    stopped_at = start + 2
    told = False
    while time.monotonic() < stopped_at + AFTER_STOP_S:
        if not told and time.monotonic() >= stopped_at:
            told = True
            if TROUBLE:
                stopped_at = time.monotonic()
                gateway.signal(signal.SIGTERM)
            record.write("SIGTERM" if TROUBLE else "no SIGTERM", "to", gateway.name)
        threads.append(threading.Thread(target=client, args=("r%d" % len(threads), balancer, record, sent),
                                        daemon=True))
        threads[-1].start()
        time.sleep(INTERVAL_S)
    for thread in threads:
        thread.join(12)
    if TROUBLE:
        record.write(gateway.name, "exited with", wait_for(lambda: str(gateway.process.poll()), 1, "does not end"))
    if sum(entry["answer"] == 200 for entry in sent.values()) < 20:
        raise CannotRun("hardly anything was served")
    breaks = []
    for request_id, entry in sent.items():
        if isinstance(entry["answer"], int) or entry["machine"] != gateway.name or request_id not in work:
            continue
        sent_s, ended_s = entry["at"] - stopped_at, entry["ended"] - stopped_at
        worked_until_s = work[request_id][1] - stopped_at
        excused = sent_s <= EXCUSED_SENT_S and worked_until_s >= EXCUSED_WORK_S
        record.write(request_id, "sent %.2f s after the SIGTERM, passed on, cut at %.2f s%s"
                     % (sent_s, ended_s, ", excused" if excused else ""))
        if not excused and ended_s < GRACE_S + 1:
            breaks.append("%s, sent %.2f s after the SIGTERM, was passed on and cut %.2f s after the SIGTERM"
                          % (request_id, sent_s, ended_s))
    return breaks


run_case(pathlib.Path(__file__).parent, case)
