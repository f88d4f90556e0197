"""Callers that record every request, and checks on these records."""

import collections
import http.client
import json
import random
import threading
import time

from fleet import LIMITS, wait_for

ATTEMPTS = 20
# Short, so that a frozen gateway does not block all callers at the same time.
CALL_TIMEOUT_S = 4


class Call:
    """One request of a caller, with all its attempts."""

    def __init__(self, id, queue, team, body):
        self.id, self.queue, self.team, self.body = id, queue, team, body
        self.outcome = None  # answered, refused, unknown
        self.answer_lost = False  # an attempt that may have reached a gateway got no answer
        self.started = time.monotonic()
        self.ended = None


def send(address, queue, key=None, id=None, body="{}", headers=()):
    """Sends one request and returns status, JSON body and headers.

    Raises OSError or HTTPException if there is no answer.
    """
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    try:
        fields = dict(headers)
        if key:
            fields["Authorization"] = f"Bearer {key}"
        if id:
            fields["Idempotency-Key"] = id
        connection.request("POST", f"/v1/queues/{queue}/requests", body, fields)
        answer = connection.getresponse()
        text = answer.read()
        return answer.status, json.loads(text) if text else {}, dict(answer.getheaders())
    finally:
        connection.close()


def new_id(team):
    """Returns a new request id, which contains the time and the team."""
    return f"{int(time.time() * 1000)}-{team}-{random.getrandbits(48):x}"


class Load:
    """Threads that send requests to the gateways until the context is left."""

    KINDS = [("quotes", "weavers"), ("orders", "weavers"), ("orders", "dyers"), ("batches", "dyers")]

    def __init__(self, fleet, threads=16):
        self.fleet = fleet
        self.calls = []
        self.errors = []
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(i,)) for i in range(threads)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *failure):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, number):
        queue, team = self.KINDS[number % len(self.KINDS)]
        while not self.stopping.is_set():
            text = json.dumps({"run_ms": random.choice([5, 20, 100]), "n": random.getrandbits(60)})
            call = Call(new_id(team), queue, team, text)
            try:
                self.send_with_retries(call)
            except Exception as error:  # reported by check_records
                self.errors.append(repr(error))
            with self.lock:
                call.ended = time.monotonic()
                self.calls.append(call)
            if call.outcome != "answered":
                time.sleep(0.05)

    def send_with_retries(self, call):
        """Sends a call, with the same id to random gateways, until one answers."""
        key = self.fleet.keys[call.team]
        call.outcome = "unknown"
        for _ in range(ATTEMPTS):
            address = random.choice(list(self.fleet.http.values()))
            try:
                status, body, _ = send(address, call.queue, key, call.id, call.body)
            except ConnectionRefusedError:
                time.sleep(0.1)
                continue  # no request was sent
            except (OSError, http.client.HTTPException):
                call.answer_lost = True
                time.sleep(0.1)
                continue
            if status == 200:
                assert body["body"] == call.body, "the answer belongs to another request"
                call.outcome = "answered"
            elif status in (429, 503):
                assert "not_run" in body, body
                call.outcome = "refused" if body["not_run"] else "unknown"
            else:
                assert status in (409, 504), (status, body)
            return

    def answered(self):
        with self.lock:
            return sum(call.outcome == "answered" for call in self.calls)

    def wait_for_answers(self, count):
        """Waits until `count` calls of each kind that started after now were answered."""
        begin = time.monotonic()

        def enough():
            with self.lock:
                seen = collections.Counter((call.queue, call.team) for call in self.calls
                                           if call.outcome == "answered" and call.started > begin)
            return all(seen[kind] >= count for kind in self.KINDS)
        wait_for("answers of every kind", enough, 120)

    def recovery_time(self, begin):
        """Returns the seconds from `begin` until a later call of each kind was answered."""
        with self.lock:
            return max(min(call.ended for call in self.calls
                           if (call.queue, call.team) == kind and call.started > begin
                           and call.outcome == "answered") for kind in self.KINDS) - begin


def max_concurrent_tasks(records, name):
    """Returns the maximum number of concurrent tasks for each value of `name(record)`."""
    events = []
    for record in records:
        events.append((record["started_ms"], 1, name(record)))
        events.append((record["ended_ms"] or float("inf"), -1, name(record)))
    running, most = collections.Counter(), collections.Counter()
    for _, change, key in sorted(events, key=lambda event: event[:2]):
        running[key] += change
        most[key] = max(most[key], running[key])
    return most


def check_records(load):
    """Compares the answers that callers received with the tasks that the backend servers ran.

    Fails if a request that is not idempotent ran twice, an answered one did not run, one refused as
    not run did run, or a team exceeded its limit.
    """
    assert not load.errors, load.errors[:5]
    records = load.fleet.fetch_starts()
    assert not records["violations"], records["violations"]
    starts = collections.Counter(record["request_id"] for record in records["starts"])
    for call in load.calls:
        count = starts[call.id]
        if call.queue != "quotes":
            assert count <= 1, f"{call.id} ran {count} times"
        if call.outcome == "answered":
            assert count >= 1, f"{call.id} was answered but did not run"
        if call.outcome == "refused" and not call.answer_lost:
            assert count == 0, f"{call.id} was refused as not run but ran"
    for team, most in max_concurrent_tasks(
            records["starts"], lambda record: record["request_id"].split("-")[1]).items():
        # Request ids that new_id() did not make contain no team, so no limit applies to them.
        assert most <= LIMITS.get(team, most), f"{most} concurrent tasks of {team}"
    print("calls:", dict(collections.Counter(call.outcome for call in load.calls)),
          "starts:", len(records["starts"]))
