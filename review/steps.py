"""Batch jobs of trainers, the engines that run their items, and a store that lists in pages."""
import base64
import http.client
import json
import threading
import time
import urllib.parse

from deployment import NAMES, CannotRun
import standin_platform as platform

# A step of Tidewater: 26 groups of 4 items with requests of 600 bytes.
GROUPS, GROUP_SIZE, BODY_BYTES = 26, 4, 600
# What a trainer waits for a step, and the time without disruption for which an item has been at no replica.
STEP_S, IDLE_S = 12, 5
OBSERVED_S = 25
PAGE_BYTES, PAGE_OBJECTS = 1 << 20, 500
ANSWER_S, BYTES_PER_S = 0.004, 125e6


class PagedStore(platform.ObjectStore):
    """Lists at most about 500 objects or 1 MB a page, and needs for a page what the sheets say: 4 ms, and the time of
    its bytes at 1,000 Mbit/s."""

    def __init__(self):
        self.texts = {}
        self.deaf, self.cuts, self.oldest = False, 0, 0
        super().__init__()

    def drop_history(self, deaf_s, change):
        """Watches hear nothing for deaf_s, in which change is made. Then the history is dropped, and the waiting ones
        are cut off."""
        with self.lock:
            self.deaf = True
        time.sleep(deaf_s / 2)
        change()
        time.sleep(deaf_s / 2)
        with self.lock:
            self.deaf = False
            self.cuts += 1
            self.oldest = self.revision
            self.history.clear()
            self.lock.notify_all()

    def handle(self, request):
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if "watch" in query:
            with self.lock:
                cuts = self.cuts
                answer = self.watch(url.path.split("/")[2], query)
                if cuts != self.cuts:
                    request.close_connection = True
                    return
            request.respond(*answer)
            return
        if request.command != "GET" or len(url.path.split("/")) != 3:
            super().handle(request)
            return
        begun = time.monotonic()
        page = self.page(url.path.split("/")[2], query.get("after", ""))
        time.sleep(max(0, ANSWER_S + len(page) / BYTES_PER_S - (time.monotonic() - begun)))
        request.respond(200, page)

    def page(self, kind, after):
        with self.lock:
            names = sorted(name for k, name in self.objects if k == kind and name > after)
            texts, size = [], 0
            for name in names[:PAGE_OBJECTS]:
                text = self.text(kind, name)
                size += len(text)
                if texts and size > PAGE_BYTES:
                    break
                texts.append(text)
            return b'{"items":[%s],"more-pages":%s,"%s":%d}' % (
                b",".join(texts), b"true" if len(texts) < len(names) else b"false",
                NAMES["store_revision"].encode(), self.revision)

    def text(self, kind, name):
        item = self.objects[(kind, name)]
        key = (kind, name, item["metadata"]["revision"])
        if key not in self.texts:
            self.texts[key] = json.dumps(item).encode()
        return self.texts[key]

    def watch(self, kind, query):
        """Returns early when the history was dropped meanwhile; the caller then cuts the connection."""
        since, deadline = int(query["watch"]), time.monotonic() + int(query["wait-ms"]) / 1000
        cuts = self.cuts
        while cuts == self.cuts:
            if since < self.oldest:
                return 410, {}
            events = []
            for revision, k, event in reversed(self.history):
                if revision <= since:
                    break
                if k == kind:
                    events.append(event)
            remaining = deadline - time.monotonic()
            if not self.deaf and (events or remaining <= 0):
                return 200, {"events": events[::-1], NAMES["store_revision"]: self.revision}
            self.lock.wait(remaining if remaining > 0 else 0.1)
        return None


def step_document(step):
    text = base64.b64encode(bytes(BODY_BYTES)).decode()
    items = []
    for number in range(GROUPS * GROUP_SIZE):
        items.append({
            "id": "%08x%08x" % (step, number), "path": "/train/%d" % number,
            "headers": {"Model": "m", "Token-Count": "1016,800"}, "body": text, "tokens": 1816,
            "group": "g%d-%d" % (step, number // GROUP_SIZE),
            "scorer": {"id": "5%07x%08x" % (step, number), "host": "h.example", "path": "/deposits/score",
                       "body": text}})
    return json.dumps({"step": step, "model": "m", "min-version": 1, "target-groups": GROUPS * 9 // 10,
                       "items": items})


def call(machine, method, path, body=None, headers=()):
    connection = http.client.HTTPConnection(machine.ip, machine.front, timeout=5)
    try:
        connection.request(method, path, body, {"Host": "h.example", **dict(headers)})
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        return repr(error), b""
    finally:
        connection.close()


def until(machines, record, wanted, *arguments):
    """Calls one machine after the other until one gives the wanted status."""
    for attempt in range(40):
        status, body = call(machines[attempt % len(machines)], *arguments)
        if status == wanted:
            return body
        record.write(arguments[0], arguments[1], "gets", status)
        time.sleep(0.2)
    return None


def job_id(step):
    return "7c41e0%010x" % step


def run_steps(first, count, machines, record, clients=8):
    """Submits steps and ends each, as trainers do that got all they wait for."""
    steps, lock = iter(range(first, first + count)), threading.Lock()

    def trainer():
        while True:
            with lock:
                step = next(steps, None)
            if step is None:
                return
            order = machines[step % 4:] + machines[:step % 4]
            accepted = until(order, record, 202, "POST", "/train/" + job_id(step), step_document(step),
                             {NAMES["id"]: job_id(step)})
            ended = until(order, record, 200, "DELETE", "/lots/" + job_id(step))
            record.write("step", step, "accepted" if accepted is not None else "not accepted",
                         "and ended" if ended is not None else "and not ended")

    trainers = [threading.Thread(target=trainer, daemon=True) for _ in range(clients)]
    for thread in trainers:
        thread.start()
    for thread in trainers:
        thread.join(60)
    if next(steps, None) is not None:
        raise CannotRun("the steps took too long")


class Engine(platform.Engine):
    """Notes when each item came and when it was finished."""

    def __init__(self, *arguments):
        self.came, self.finished, self.running = {}, set(), 0
        super().__init__(*arguments)
        self.event_interval = 0.1

    def stream(self, request):
        item = request.headers[NAMES["id"]]
        with self.lock:
            self.came[item] = time.monotonic()
            self.running += 1
        try:
            super().stream(request)
            self.finished.add(item)
        finally:
            with self.lock:
                self.came[item] = time.monotonic()
                self.running -= 1


def observe_last_step(last, items, accepted_at, engines, machines, record):
    """Reads the step until it is listed or OBSERVED_S have passed, and returns the breaks of the rule."""
    breaks, listed = [], 0
    while time.monotonic() < accepted_at + OBSERVED_S and listed < len(items):
        now = time.monotonic()
        status, body = call(machines[int(now) % len(machines)], "GET", "/lots/%s?after=0" % last)
        listed = len(json.loads(body)["results"]) if status == 200 else listed
        finished = set().union(*(e.finished for e in engines))
        latest = {item: max(e.came.get(item, 0) for e in engines) for item in items if item not in finished}
        idle = [item for item, at in latest.items() if at < now - IDLE_S]
        running = sum(e.running for e in engines)
        record.write("%.1f s after the 202: a read gets %s with %d results; finished at replicas: %d, running: %d, at "
                     "no replica for %d s: %d" % (now - accepted_at, status, listed, len(finished), running, IDLE_S,
                                                  len(idle)))
        if now > accepted_at + STEP_S and idle and running < 8 * len(engines) / 2:
            breaks.append("%.1f s after the 202, %d of %d items of the step have been at no replica for %d s, and %d of "
                          "%d places are taken" % (now - accepted_at, len(idle), len(items), IDLE_S, running,
                                                   8 * len(engines)))
        time.sleep(0.5)
    return breaks
