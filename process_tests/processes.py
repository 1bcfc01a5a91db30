"""Starts the system and the emulators as separate processes on loopback.

Every process is started here and ended by its process id. All waits are bounded.
"""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import threading
import time

HOST = "127.0.0.1"
START_TIMEOUT_S = 20
BUILD = pathlib.Path(os.environ.get("CARDAMOM_BUILD", "build")).resolve()


_ports_given = set()


def free_port():
    """Returns a TCP port that was free a moment ago and was not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        if port not in _ports_given:
            _ports_given.add(port)
            return port


def http_call(address, method, path, body=None, headers=None, timeout=10):
    """Returns (status, headers, body bytes). Raises OSError or HTTPException."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
            headers = {"Content-Type": "application/json", **(headers or {})}
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


def http_json(address, method, path, body=None, headers=None, timeout=10):
    status, _, data = http_call(address, method, path, body, headers, timeout)
    return status, json.loads(data) if data else None


def wait_until(condition, timeout_s, what):
    """Polls condition until it is true; its exceptions of I/O count as false."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            pass
        time.sleep(0.02)
    raise AssertionError(f"timeout after {timeout_s} s: {what}")


class Relay:
    """TCP relay whose connections can be cut, or go silent for good."""

    def __init__(self, target):
        self.target = (target.split(":")[0], int(target.split(":")[1]))
        self.listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        self.lock = threading.Lock()
        self.pairs = []
        self.refuse = False
        self.closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.closed:
            try:
                client, _ = self.listener.accept()
                if self.refuse:
                    client.close()
                    continue
                server = socket.create_connection(self.target, timeout=2)
            except OSError:
                if self.closed:
                    return
                client.close()
                continue
            server.settimeout(None)
            pair = {"client": client, "server": server, "silent": threading.Event()}
            with self.lock:
                self.pairs.append(pair)
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self._pump, args=(source, sink, pair), daemon=True).start()

    def _pump(self, source, sink, pair):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if pair["silent"].is_set():
                    continue
                sink.sendall(data)
        except OSError:
            pass
        if not pair["silent"].is_set():
            self._close(pair)

    @staticmethod
    def _close(pair):
        for name in ("client", "server"):
            try:
                pair[name].shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _drop(self, pair):
        self._close(pair)
        pair["client"].close()
        pair["server"].close()

    def silence(self):
        """Existing connections stay open and pass nothing more; new ones work."""
        with self.lock:
            for pair in self.pairs:
                pair["silent"].set()

    def cut(self):
        with self.lock:
            for pair in self.pairs:
                self._drop(pair)
            self.pairs = []

    def close(self):
        self.closed = True
        self.listener.close()
        self.cut()


class Process:
    """One child process with its log file."""

    def __init__(self, name, args, directory):
        self.name = name
        self.args = [str(a) for a in args]
        self.log = pathlib.Path(directory) / f"{name}.log"
        self.popen = None
        self.start()

    def start(self):
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(
                self.args, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait(10)

    def terminate(self, timeout_s=30):
        """SIGTERM; returns the exit code, or kills and raises."""
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            raise AssertionError(f"{self.name} did not stop within {timeout_s} s") from None

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def thaw(self):
        self.signal(signal.SIGCONT)

    def alive(self):
        return self.popen.poll() is None

    def log_text(self):
        return self.log.read_text(errors="replace")


class Upstream:
    """An emulator of an upstream and the agent beside it."""

    def __init__(self, name, kind, pool, domain):
        self.name = name
        self.kind = kind
        self.pool = pool
        self.domain = domain
        self.address = f"{HOST}:{free_port()}"
        self.agent_address = f"{HOST}:{free_port()}"
        self.agent_http = f"{HOST}:{free_port()}"
        self.order_port = free_port()
        self.relay = None
        self.process = None
        self.agent = None

    def inner_address(self):
        return self.relay.address if self.relay else self.agent_address


class Cluster:
    """Store, upstreams with agents, and entries; a context manager."""

    def __init__(self, entries=2, models=2, plain=2, domains=2, relays=False,
                 engine_args=(), service_args=(), concurrency=4, trainers=None, rules=None):
        self.directory = tempfile.TemporaryDirectory(prefix="cardamom-")
        self.processes = {}
        self.relays = relays
        self.engine_args = list(engine_args)
        self.service_args = list(service_args)
        self.concurrency = concurrency
        self.store = f"{HOST}:{free_port()}"
        self.weights = f"{HOST}:{free_port()}"
        self.scorer = f"{HOST}:{free_port()}"
        self.entries = [
            {"name": f"entry-{i}", "domain": f"fd-{i % domains}",
             "inner": f"{HOST}:{free_port()}", "http": f"{HOST}:{free_port()}"}
            for i in range(entries)
        ]
        self.upstreams = [Upstream(f"model-{i}", "model", "notes", f"fd-{i % domains}") for i in range(models)]
        self.upstreams += [Upstream(f"plain-{i}", "plain", "counter", f"fd-{i % domains}") for i in range(plain)]
        self.rules = rules or {
            "routes": [{"prefix": "/counter", "pool": "counter", "timeout_ms": 20000,
                        "non_idempotent": [{"method": "POST", "path_prefix": "/counter/deposits"}]}],
            "trainers": trainers if trainers is not None else [
                {"name": "t1", "priority": 1, "model": "notes", "staleness_bound": 2}],
            "upstreams": [],
            "weights": {"idle": 0.5, "staleness": 0.5},
        }

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.print_logs()
            self.stop()
            raise
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            self.print_logs()
        self.stop()

    def print_logs(self, tail=15):
        for process in self.processes.values():
            lines = process.log_text().splitlines()[-tail:]
            print(f"--- {process.name} (exit code {process.popen.poll()})")
            print("\n".join(lines))

    def inventory(self):
        rows = ["name,kind,pool,vm,region,failure_domain,inner_address,address,concurrency"]
        for e in self.entries:
            rows.append(f"{e['name']},entry,,vm-{e['name']},r1,{e['domain']},{e['inner']},{e['http']},1")
        for u in self.upstreams:
            rows.append(f"{u.name},{u.kind},{u.pool},vm-{u.name},r1,{u.domain},"
                        f"{u.inner_address()},{u.address},{self.concurrency}")
        return "\n".join(rows) + "\n"

    def spawn(self, name, args):
        self.processes[name] = Process(name, args, self.directory.name)
        return self.processes[name]

    def start(self):
        host, port = self.store.split(":")
        self.spawn("store", [BUILD / "standin_store", "--host", host, "--port", port])
        wait_until(lambda: http_call(self.store, "GET", "/v1/objects?prefix=x")[0] == 200, START_TIMEOUT_S, "store")
        self.spawn("weights", [BUILD / "standin_weights", "--host", HOST, "--port", self.weights.split(":")[1]])
        for upstream in self.upstreams:
            if self.relays:
                upstream.relay = Relay(upstream.agent_address)
            self.start_upstream(upstream)
            self.start_agent(upstream)
        for entry in self.entries:
            self.start_entry(entry)
        self.apply()
        for entry in self.entries:
            self.wait_ready(entry)
        self.wait_connected()

    def start_upstream(self, upstream):
        port = upstream.address.split(":")[1]
        if upstream.kind == "model":
            args = [BUILD / "standin_engine", "--host", HOST, "--port", port, "--model", upstream.pool,
                    "--slots", self.concurrency, *self.engine_args]
        else:
            args = [BUILD / "standin_service", "--host", HOST, "--port", port, *self.service_args]
        upstream.process = self.spawn(upstream.name, args)
        wait_until(lambda: socket.create_connection((HOST, int(port)), 1).close() is None,
                   START_TIMEOUT_S, upstream.name)

    def start_agent(self, upstream):
        upstream.agent = self.spawn(f"agent-{upstream.name}", [
            BUILD / "cardamomd", "--role", "agent", "--name", upstream.name,
            "--failure-domain", upstream.domain, "--region", "r1", "--inner-listen", upstream.agent_address,
            "--http-listen", upstream.agent_http,
            "--upstream", upstream.address, "--order-port", upstream.order_port,
            "--store", self.store])

    def start_entry(self, entry, extra=()):
        entry["process"] = self.spawn(entry["name"], [
            BUILD / "cardamomd", "--role", "entry", "--name", entry["name"],
            "--failure-domain", entry["domain"], "--region", "r1", "--inner-listen", entry["inner"],
            "--http-listen", entry["http"], "--store", self.store, "--drain-notice-ms", "300", *extra])

    def ctl(self, *args, check=True):
        """Runs cardamomctl; returns (exit code, standard output)."""
        done = subprocess.run([BUILD / "cardamomctl", *map(str, args)], capture_output=True, text=True, timeout=60,
                              env={**os.environ, "CARDAMOM_STORE": self.store,
                                   "CARDAMOM_ENTRY": self.entries[0]["http"]})
        if check and done.returncode != 0:
            raise AssertionError(f"cardamomctl {args}: exit {done.returncode}: {done.stdout}{done.stderr}")
        return done.returncode, done.stdout

    def apply(self, check=True):
        directory = pathlib.Path(self.directory.name)
        (directory / "inventory.csv").write_text(self.inventory())
        (directory / "rules.json").write_text(json.dumps(self.rules))
        return self.ctl("apply", directory / "inventory.csv", directory / "rules.json",
                        check=check)

    def wait_ready(self, entry, timeout_s=START_TIMEOUT_S):
        wait_until(lambda: http_call(entry["http"], "GET", "/readyz")[0] == 200, timeout_s, f"{entry['name']} ready")

    def status(self, entry):
        return http_json(entry["http"], "GET", "/status")[1]

    def wait_connected(self, timeout_s=START_TIMEOUT_S):
        for entry in self.entries:
            if not entry["process"].alive():
                continue
            wait_until(lambda e=entry: all(u["connected"] and u["ready"] for u in self.status(e)["upstreams"]),
                       timeout_s, f"{entry['name']} connected to all agents")

    def stop(self):
        for process in self.processes.values():
            process.thaw()
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            process.popen.wait(10)
        for upstream in self.upstreams:
            if upstream.relay:
                upstream.relay.close()
        self.directory.cleanup()


def metric(address, name):
    """Sum of a metric over its labels, from the Prometheus text."""
    text = http_call(address, "GET", "/metrics")[2].decode()
    total = 0.0
    for line in text.splitlines():
        if line.startswith(f"cardamom_{name}{{") or line.startswith(f"cardamom_{name} "):
            total += float(line.rsplit(" ", 1)[1])
    return total
