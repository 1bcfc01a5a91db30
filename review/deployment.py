"""Starts the gateways and checkpoint servers of a small deployment with the commands of deploy/system.toml.

Each machine has a loopback address of its own, as the commands expect. Only processes that were started here are
signalled, by their ids.
"""
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "platform"))
NAMES = json.loads((pathlib.Path(__file__).parent / "names.json").read_text())
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the smaller standard deployments.
BOUNDS = {"bounds.lease-ms": "3000", "bounds.drain-ms": "2000", "bounds.config-apply-ms": "2000"}
GRACE_S = 8
# Memory of an edge machine there, and the delay after which a process that ended is started again.
MEMORY_MB = 260
RESTART_S = 0.3
METRICS_PORT = 9464
LIMIT_S = 118

STARTED = []
# Held while a process is started; nothing is started once the case has ended.
START_LOCK, ENDED = threading.Lock(), threading.Event()


class CannotRun(Exception):
    """The case could not be set up, so that nothing can be said of the rule."""


def run_lines():
    """Returns the command of each role."""
    lines, role = {}, None
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if match := re.match(r"\[roles\.([\w-]+)\]", line):
            role = match.group(1)
        elif role and (match := re.match(r'run = "(.*)"', line)):
            lines[role] = match.group(1)
    return lines


class Machine:
    """A process of one role on a loopback address of its own."""

    def __init__(self, role, name, zone, ip, ports, store, folder, cpu_share=0.19):
        self.name, self.zone, self.ip = name, zone, ip
        self.front, self.ready, self.inner = ports
        self.data = pathlib.Path(folder) / (name + "-data")
        self.data.mkdir()
        self.log = pathlib.Path(folder) / (name + ".log")
        settings = {
            "node": name, "zone": zone, "region": "region-1", "ip": ip, "platform.address": store,
            "listen.front": "%s:%d" % (ip, self.front), "listen.ready": "%s:%d" % (ip, self.ready),
            "port-range.0": str(self.inner), "limits.cpu-share": str(cpu_share), "data-dir": str(self.data), **BOUNDS}
        words = run_lines()[role].split(" ")
        self.command = [re.sub(r"\{\{([^}]*)\}\}", lambda m: settings[m.group(1)], word) for word in words]
        self.process = None
        self.start()

    def start(self):
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        with START_LOCK:
            if ENDED.is_set():
                return
            with open(self.log, "ab") as log:
                self.process = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdout=log, stderr=log)
            STARTED.append(self.process)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def resident_mb(self):
        try:
            pages = int(pathlib.Path("/proc/%d/statm" % self.process.pid).read_text().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.ip, self.ready, timeout=1)
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()


class Deployment:
    """Gateways in the zones given, of the shares of a core given, and one checkpoint server."""

    def __init__(self, store, zones, folder, cpu_shares=None):
        cpu_shares = cpu_shares or [0.19] * len(zones)
        net = random.SystemRandom()
        for _ in range(20):
            prefix = "127.%d.%d." % (net.randrange(2, 250), net.randrange(1, 250))
            ports = [net.randrange(12000, 30000) for _ in range(3)]
            if len(set(ports)) == 3 and all(free(prefix + str(i + 1), p) for i in range(len(zones) + 1)
                                            for p in ports + [METRICS_PORT]):
                break
        else:
            raise CannotRun("no free ports")
        self.prefix = prefix
        self.gateways = [Machine("gateway", "edge-%s-%d" % (zone, i + 1), zone, prefix + str(i + 1), ports, store,
                                 folder, cpu_shares[i]) for i, zone in enumerate(zones)]
        self.reserve = Machine("reserve", "storage-1", zones[0], prefix + str(len(zones) + 1), ports, store, folder)

    def wait_until_ready(self):
        wait_for(lambda: all(g.is_ready() for g in self.gateways), 15, "gateways are not ready")

    def end(self):
        for machine in self.gateways + [self.reserve]:
            machine.end()


class MemoryLimit(threading.Thread):
    """The platform's limit on memory: a process that uses more is killed, and started again after a short delay."""

    def __init__(self, machines, record):
        super().__init__(daemon=True)
        self.machines, self.record = machines, record
        self.kills, self.peak = {m.name: 0 for m in machines}, {m.name: 0 for m in machines}

    def peaks(self):
        return {name: round(mb) for name, mb in self.peak.items()}

    def run(self):
        while True:
            for machine in self.machines:
                used = machine.resident_mb()
                self.peak[machine.name] = max(self.peak[machine.name], used)
                if used > MEMORY_MB:
                    machine.end()
                    self.kills[machine.name] += 1
                    self.record.write("%s uses %d MB of %d and is killed" % (machine.name, used, MEMORY_MB))
                    threading.Timer(RESTART_S, machine.start).start()
            time.sleep(0.002)


def free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
            return True
        except OSError:
            return False


def wait_for(condition, limit_s, what):
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        if value := condition():
            return value
        time.sleep(0.02)
    raise CannotRun(what)


class Record:
    """record.txt in the folder of the case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.started_at = time.monotonic()
        self.lock = threading.Lock()
        self.write("trouble", "on" if TROUBLE else "off")

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, *words):
        with self.lock:
            self.file.write("%8.3f %s\n" % (self.now(), " ".join(str(w) for w in words)))
            self.file.flush()


def run_case(folder, case):
    """Calls case(record, temporary folder), which returns the breaks of the rule, and exits with the status of it."""
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.default_int_handler)
    signal.alarm(LIMIT_S)
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="review-")
    breaks, failure = [], None
    try:
        breaks = case(record, temporary)
    except (Exception, KeyboardInterrupt) as error:  # any failure: the case could not run
        failure = repr(error)
    signal.alarm(0)
    with START_LOCK:
        ENDED.set()
    for process in STARTED:
        if process.poll() is None:
            process.kill()
        process.wait()
    if not os.environ.get("KEEP_LOGS"):
        shutil.rmtree(temporary, ignore_errors=True)
    if failure:
        verdict, status = "could not run: " + failure, 2
    else:
        for text in breaks:
            record.write("BROKEN:", text)
        verdict = "the rule was broken %d times" % len(breaks) if breaks else "the rule held"
        status = 1 if breaks else 0
    record.write(verdict)
    print(verdict)
    sys.stdout.flush()
    # Threads of stand-ins and clients may still wait.
    os._exit(status)
