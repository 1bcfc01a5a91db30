"""Environment of the cases of the third review: the project's own stand-ins for the platform, gateways with the
command of the deploy file, and a record of what was sent, answered and run."""
import http.client
import json
import os
import pathlib
import random
import shlex
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform"))
import standin_platform as platform  # pylint: disable=wrong-import-position

# Names of the platform's headers and fields.
NAMES = json.loads((ROOT / "review" / "names-3.json").read_text(encoding="utf-8"))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

USED_PORTS = set()


def free_port():
    """Returns an unused port below the ephemeral range, so that no outgoing connection can take it."""
    while True:
        port = random.SystemRandom().randrange(12000, 30000)
        if port in USED_PORTS:
            continue
        USED_PORTS.add(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def wait_for(condition, limit=15, what="a condition"):
    deadline = time.monotonic() + limit
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise RuntimeError("timed out waiting for " + what)


def gateway_command(settings):
    """Returns the words of the deploy file's command and its environment, filled in from the settings."""
    role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))["roles"]["gateway"]

    def fill(text):
        while "{{" in text:
            start = text.index("{{")
            end = text.index("}}", start)
            text = text[:start] + settings.get(text[start + 2:end], "") + text[end + 2:]
        return text

    words = [fill(word) for word in shlex.split(role["run"])]
    return words, {name: fill(text) for name, text in role["env"].items()}


class Gateway:
    """A process of the system. It is started again after it has ended, as on the platform."""

    RESTART_DELAY_S = 0.5

    def __init__(self, stage, name, store_address, inner=None):
        self.stage = stage
        self.name = name
        self.front, self.ready, self.metrics = (free_port() for _ in range(3))
        self.inner = inner or free_port()
        settings = {
            "node": name, "zone": "z1", "region": "r", "ip": "127.0.0.1", "platform.address": store_address,
            "listen.front": "127.0.0.1:%d" % self.front, "listen.ready": "127.0.0.1:%d" % self.ready,
            "port-range.0": str(self.inner), "bounds.lease-ms": "3000", "limits.cpu-share": "0.19",
            "bounds.drain-ms": "2000", "bounds.config-apply-ms": "2000"}
        self.words, environment = gateway_command(settings)
        # The fixed metrics port of the deploy file would be the same for all processes of this machine.
        self.words = [word.replace(":9464", ":%d" % self.metrics) for word in self.words]
        self.environment = {**os.environ, **environment}
        self.log = pathlib.Path(stage.folder.name) / (name + ".log")
        self.own_ends = 0
        self.wanted = True
        # So that no process is started while or after the gateway is ended.
        self.lock = threading.Lock()
        self.start()
        threading.Thread(target=self.keep_running, daemon=True).start()

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.words, cwd=ROOT, env=self.environment, stdout=log, stderr=log)

    def keep_running(self):
        while self.wanted:
            code = self.process.poll()
            if code is not None and self.wanted:
                self.own_ends += 1
                self.stage.note("%s has ended with code %s and is started again" % (self.name, code))
                time.sleep(self.RESTART_DELAY_S)
                with self.lock:
                    if self.wanted:
                        self.start()
            time.sleep(0.02)

    def end(self):
        with self.lock:
            self.wanted = False
            self.process.kill()
            self.process.wait()

    def request(self, method, path, body=None, headers=None, port=None, timeout=10):
        connection = http.client.HTTPConnection("127.0.0.1", port or self.front, timeout=timeout)
        try:
            connection.request(method, path, body, {"Host": "h.example", **(headers or {})})
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def is_ready(self):
        try:
            return self.request("GET", "/ready", port=self.ready)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def log_text(self):
        return self.log.read_text(errors="replace")


class Stage:
    """One run of a case. Use as a context manager: all processes end with it."""

    def __init__(self, case_folder):
        self.folder = tempfile.TemporaryDirectory()
        self.record = open(pathlib.Path(case_folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.started_at = time.monotonic()
        self.gateways = []
        self.standins = []
        self.store = self.add(platform.ObjectStore())
        self.note("TROUBLE=%d" % TROUBLE)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for gateway in self.gateways:
            gateway.end()
            if os.environ.get("KEEP_LOGS"):
                (pathlib.Path(os.environ["KEEP_LOGS"]) / gateway.log.name).write_text(gateway.log_text())
        for standin in self.standins:
            standin.close()
        self.record.close()
        self.folder.cleanup()

    def add(self, standin):
        self.standins.append(standin)
        return standin

    def note(self, text):
        with self.lock:
            if not self.record.closed:
                self.record.write("%7.3f %s\n" % (time.monotonic() - self.started_at, text))
                self.record.flush()

    def start_gateways(self, count, store_addresses=None):
        for number in range(count):
            address = store_addresses[number] if store_addresses else self.store.address
            self.gateways.append(Gateway(self, "gateway-%d" % number, address))
        for gateway in self.gateways:
            wait_for(gateway.is_ready, what="readiness of " + gateway.name)

    def configure(self, config):
        self.store.put("config", "main", config)
        self.note("the store acknowledges configuration %d" % config["version"])
        for route in config["routes"]:
            self.note("  route %s%s, %s, service %s" % (route["host"], route[NAMES["prefix"]], route["kind"],
                                                       route["service"]))


class KeptConnection:
    """A client that sends one request after the other on a kept connection."""

    def __init__(self, stage, gateway, number):
        self.stage, self.gateway, self.number = stage, gateway, number
        self.stopped = False
        self.answered = 0
        # Ids of requests on a kept connection that ended without an answer.
        self.unanswered = []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        count = 0
        while not self.stopped:
            connection = http.client.HTTPConnection("127.0.0.1", self.gateway.front, timeout=5)
            sent_on_connection = 0
            try:
                while not self.stopped:
                    count += 1
                    request_id = "%s-c%d-%d" % (self.gateway.name, self.number, count)
                    connection.request("POST", "/deposits/entry", b"deposit", {
                        "Host": "h.example", NAMES["request_id"]: request_id, NAMES["deadline"]: "1500"})
                    sent_on_connection += 1
                    response = connection.getresponse()
                    response.read()
                    self.answered += 1
                    if response.will_close:
                        break
            except (OSError, http.client.HTTPException) as error:
                if sent_on_connection > 1 and not self.stopped:
                    self.unanswered.append(request_id)
                    self.stage.note("%s: connection closed without an answer (%r)" % (request_id, error))
                time.sleep(0.2)
            finally:
                connection.close()


def cut_requests(stage, clients, replicas):
    """Stops the clients. Returns the ids of the requests that were passed on to a replica and whose kept connection
    was closed without an answer."""
    for client in clients:
        client.stopped = True
    for client in clients:
        client.thread.join(6)
    passed_on = {request_id for replica in replicas for request_id in list(replica.received_ids)}
    cut = [request_id for client in clients for request_id in client.unanswered if request_id in passed_on]
    stage.note("requests answered: %d" % sum(client.answered for client in clients))
    stage.note("passed on to a replica, connection closed without an answer: %d %s" % (len(cut), cut))
    stage.note("processes that ended by themselves: %s" % {g.name: g.own_ends for g in stage.gateways})
    return cut


def play(case_folder, run):
    """Runs the case and exits with its result."""
    try:
        with Stage(case_folder) as stage:
            broken = run(stage)
            stage.note("the rule was broken" if broken else "the rule held")
    except Exception as error:  # pylint: disable=broad-except
        print("the case could not run: %r" % error)
        sys.exit(NOT_RUN)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
