"""Runs the system and the emulators as separate processes on loopback.

Only processes that were started here are signalled, by process id. All waits have timeouts.
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


_returned_ports = set()


def free_port():
    """Returns a TCP port that is currently unused and that this function has not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        if port not in _returned_ports:
            _returned_ports.add(port)
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
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def http_json(address, method, path, body=None, headers=None, timeout=10):
    status, _, data = http_call(address, method, path, body, headers, timeout)
    return status, json.loads(data) if data else None


def wait_until(condition, timeout_s, description):
    """Polls condition until it is true. I/O and parse errors that it raises count as false."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            pass
        time.sleep(0.02)
    raise AssertionError(f"timed out after {timeout_s} s waiting for: {description}")


class Relay:
    """TCP relay that can close its connections, or stall them so that they stay open but pass no data."""

    def __init__(self, target):
        self.target = (target.split(":")[0], int(target.split(":")[1]))
        self.listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        self.lock = threading.Lock()
        self.connections = []
        self.refuse_connections = False
        self.closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.closed:
            try:
                client, _ = self.listener.accept()
                if self.refuse_connections:
                    client.close()
                    continue
                server = socket.create_connection(self.target, timeout=2)
            except OSError:
                if self.closed:
                    return
                client.close()
                continue
            server.settimeout(None)
            connection = {"client": client, "server": server, "stalled": threading.Event()}
            with self.lock:
                self.connections.append(connection)
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self._forward, args=(source, sink, connection), daemon=True).start()

    def _forward(self, source, sink, connection):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if connection["stalled"].is_set():
                    continue
                sink.sendall(data)
        except OSError:
            pass
        if not connection["stalled"].is_set():
            self._shut_down(connection)

    @staticmethod
    def _shut_down(connection):
        for name in ("client", "server"):
            try:
                connection[name].shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _close_sockets(self, connection):
        self._shut_down(connection)
        connection["client"].close()
        connection["server"].close()

    def stall_connections(self):
        """Keeps the existing connections open but discards their data from now on. New connections work."""
        with self.lock:
            for connection in self.connections:
                connection["stalled"].set()

    def close_connections(self):
        with self.lock:
            for connection in self.connections:
                self._close_sockets(connection)
            self.connections = []

    def close(self):
        self.closed = True
        self.listener.close()
        self.close_connections()


class Process:
    """A child process and its log file."""

    def __init__(self, name, args, directory):
        self.name = name
        self.args = [str(a) for a in args]
        self.log_path = pathlib.Path(directory) / f"{name}.log"
        self.popen = None
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(
                self.args, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def send_signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.popen.wait(10)

    def terminate(self, timeout_s=30):
        """Sends SIGTERM and returns the exit code. Kills the process and raises if it does not exit in time."""
        self.send_signal(signal.SIGTERM)
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            raise AssertionError(f"{self.name} did not exit within {timeout_s} s after SIGTERM") from None

    def pause(self):
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        self.send_signal(signal.SIGCONT)

    def alive(self):
        return self.popen.poll() is None

    def read_log(self):
        return self.log_path.read_text(errors="replace")


class Upstream:
    """An emulated upstream and its agent."""

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
    """Context manager that runs the emulated store, upstreams with their agents, and entries."""

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
            lines = process.read_log().splitlines()[-tail:]
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
        """Runs cardamomctl. Returns (exit code, standard output); with check, raises if it fails."""
        done = subprocess.run([BUILD / "cardamomctl", *map(str, args)], capture_output=True, text=True, timeout=60,
                              env={**os.environ, "CARDAMOM_STORE": self.store,
                                   "CARDAMOM_ENTRY": self.entries[0]["http"]})
        if check and done.returncode != 0:
            raise AssertionError(
                f"cardamomctl {args} failed with exit code {done.returncode}: {done.stdout}{done.stderr}")
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
            process.resume()
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.popen.wait(10)
        for upstream in self.upstreams:
            if upstream.relay:
                upstream.relay.close()
        self.directory.cleanup()


def metric(address, name):
    """Returns the sum of a metric over all label sets, from the Prometheus text format."""
    text = http_call(address, "GET", "/metrics")[2].decode()
    total = 0.0
    for line in text.splitlines():
        if line.startswith(f"cardamom_{name}{{") or line.startswith(f"cardamom_{name} "):
            total += float(line.rsplit(" ", 1)[1])
    return total
