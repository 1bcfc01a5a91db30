"""Starts the programs of the deploy file as processes on loopback addresses, for the scripts of the second review.

The stand-ins are those in platform/. Names of the platform's headers and fields come from there or from data files.
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
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform"))
sys.dont_write_bytecode = True

import standin_platform as platform  # noqa: E402  pylint: disable=wrong-import-position

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
METRICS_PORT = 9464  # in the command of the deploy file


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def free_port(ip):
    """Returns an unused port below the ephemeral range."""
    while True:
        port = random.SystemRandom().randrange(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
                return port
            except OSError:
                continue


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, (list, tuple)):
            value = value[int(part)]
        elif part in value:
            value = value[part]
        else:
            return ""
    return str(value)


def render(text, fields):
    return re.sub(r"\{\{([^}]*)\}\}", lambda match: lookup(fields, match[1]), text)


class Record:
    """Lines with the seconds since the start, written to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (self.now(), text))
            self.file.flush()


class Process:
    """One role of the deploy file on one machine."""

    def __init__(self, stage, role, name, zone, store):
        description = stage.deploy["roles"][role]
        ip = stage.new_ip()
        self.name, self.ip, self.stage = name, ip, stage
        self.front, self.ready, inner = ("%s:%d" % (ip, free_port(ip)) for _ in range(3))
        self.inner = inner
        ports = [int(inner.split(":")[1]), int(inner.split(":")[1]) + 15]
        data = stage.folder / name
        data.mkdir()
        fields = {"node": name, "zone": zone, "region": "r", "ip": ip, "port-range": ports,
                  "listen": {"front": self.front, "ready": self.ready}, "platform": {"address": store},
                  "data-dir": data, **stage.settings}
        self.words = render(description["run"], fields).split()
        self.environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "")}
        for key, text in description.get("env", {}).items():
            self.environment[key] = render(text, fields)
        self.log = stage.folder / (name + ".log")
        self.process = None
        self.start()

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.words, cwd=ROOT, stdout=log, stderr=log, env=self.environment)
        self.stage.record.line("process %s started" % self.name)

    def signal(self, number):
        self.stage.record.line("process %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            try:
                self.process.send_signal(signal.SIGCONT)
            except OSError:
                pass
            self.process.kill()
        self.process.wait()

    def log_text(self):
        return self.log.read_text(errors="replace")

    def call(self, method, path, body=None, headers=None, address=None, timeout=10):
        """Sends one request on a new connection, and returns status, body and headers."""
        ip, port = (address or self.front).split(":")
        connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
        try:
            connection.request(method, path, body, {"Host": "h.example", **(headers or {})})
            response = connection.getresponse()
            return response.status, response.read(), response.headers
        finally:
            connection.close()

    def is_ready(self):
        try:
            return self.call("GET", "/ready", address=self.ready, timeout=1)[0] == 200
        except OSError:
            return False


class Stage:
    """A small deployment: its settings, processes and stand-ins. close() ends them all."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.settings = json.loads((ROOT / "review/settings-2.json").read_text())
        self.net = random.SystemRandom().randrange(2, 250), random.SystemRandom().randrange(2, 250)
        self.machines = 0
        self.processes = []
        self.closers = []
        if not (ROOT / "target/cardamomd").exists():
            raise CannotRun("target/cardamomd is missing; run the build of the deploy file")

    def new_ip(self):
        """Returns a loopback address on which the fixed port of the metrics is free."""
        while True:
            self.machines += 1
            ip = "127.%d.%d.%d" % (*self.net, self.machines)
            with socket.socket() as probe:
                try:
                    probe.bind((ip, METRICS_PORT))
                    return ip
                except OSError:
                    continue

    def bound(self, name):
        return self.settings["bounds"][name]

    def add(self, role, name, zone, store):
        process = Process(self, role, name, zone, store)
        self.processes.append(process)
        return process

    def keep(self, standin):
        """Closes the stand-in at the end."""
        self.closers.append(standin.close)
        return standin

    def close(self):
        for process in self.processes:
            process.end()
        for close in self.closers:
            try:
                close()
            except OSError:
                pass
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def wait_for(condition, limit, what):
    deadline = time.monotonic() + limit
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise CannotRun("timed out: " + what)


def main(folder, play):
    """Plays the case, writes its verdict to record.txt, and exits with its code."""
    stage, code = None, NOT_RUN
    try:
        stage = Stage(folder)
        code = play(stage)
    except CannotRun as error:
        print("cannot run: %s" % error)
        if stage:
            stage.record.line("cannot run: %s" % error)
    finally:
        if stage:
            stage.record.line("exit code %d, TROUBLE=%d" % (code, TROUBLE))
            stage.close()
    sys.stdout.flush()
    os._exit(code)  # threads of the stand-ins may still wait
