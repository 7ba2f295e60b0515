"""Simulate the platform: log, host list and weight store."""

from __future__ import annotations

import threading
import time

import msgspec
from werkzeug.wrappers import Request, Response

from ..ids import HostName, Offset
from ..storage.http import AppendBody, Appended, ReserveReply
from ..storage.interfaces import HostEntry, HostState, Page
from .web import StandInServer, json_response

MAX_READ_WAIT = 30.0  # seconds
LOADS_PER_MINUTE = 12


class Faults(msgspec.Struct, kw_only=True):
    """Faults to inject into the log and the host list.

    `delay` applies to each request of the log, `host_lag` to changes of the host
    list; both are in seconds. `lose_requests` appends are dropped and
    `lose_replies` appends are stored, and each is answered with an error.
    `retention` is the number of records that a stream keeps.
    """

    down: bool = False
    delay: float = 0.0
    lose_replies: int = 0
    lose_requests: int = 0
    retention: int | None = None
    host_lag: float = 0.0


class HostChange(msgspec.Struct, frozen=True, kw_only=True):
    """Change of the host list; a state of None removes the host."""

    host: HostName
    state: HostState | None


class Stream:
    """Records of one stream, from offset `first` on."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[bytes] = []

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def trim(self, keep: int) -> None:
        """Drop all but the newest `keep` records."""
        excess = len(self.records) - keep
        if excess > 0:
            del self.records[:excess]
            self.first += excess


class PlatformStandIn:
    """Serve a log with retention and fault injection, a host list and a weight store.

    The weight store only limits the rate of loads.
    """

    def __init__(self, *, port: int = 0) -> None:
        self.faults = Faults()
        self.appends = 0
        self._streams: dict[str, Stream] = {}
        self._hosts: dict[HostName, HostState] = {}
        self._host_changes: list[tuple[float, HostChange]] = []
        self._load_times: list[float] = []
        self._changed = threading.Condition()
        self._stopped = False
        self._server = StandInServer(
            routes=[
                ("POST", "/streams/<name>/records", self._append),
                ("GET", "/streams/<name>/records", self._read),
                ("GET", "/hosts", self._list_hosts),
                ("POST", "/hosts", self._change_host),
                ("POST", "/weights/<model>/<version>/reserve", self._reserve),
                ("POST", "/faults", self._set_faults),
                ("GET", "/statistics", self._statistics),
            ],
            port=port,
        )

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self._server.url

    def start(self) -> None:
        """Start the server."""
        self._server.start()

    def stop(self) -> None:
        """Wake waiting readers and stop the server."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()
        self._server.stop()

    def set_host(self, host: HostName, state: HostState | None) -> None:
        """Change the host list, visible after `host_lag`; None removes the host."""
        due = time.monotonic() + self.faults.host_lag
        self._host_changes.append((due, HostChange(host=host, state=state)))

    def records(self, name: str) -> list[bytes]:
        """Return the records that a stream still has."""
        with self._changed:
            stream = self._streams.get(name)
            return list(stream.records) if stream else []

    def first(self, name: str) -> int:
        """Return the offset of the oldest record that a stream still has."""
        with self._changed:
            return self._streams.setdefault(name, Stream()).first

    def end(self, name: str) -> int:
        """Return the offset of the next record of a stream."""
        with self._changed:
            return self._streams.setdefault(name, Stream()).end

    def _append(self, request: Request, name: str) -> Response:
        if self.faults.down:
            return json_response({"error": "down"}, 503)
        time.sleep(self.faults.delay)
        if self.faults.lose_requests > 0:
            self.faults.lose_requests -= 1
            return json_response({"error": "request lost"}, 504)
        body = msgspec.json.decode(request.get_data(), type=AppendBody)
        with self._changed:
            stream = self._streams.setdefault(name, Stream())
            offset = stream.end
            stream.records.extend(body.records)
            self.appends += 1
            if self.faults.retention is not None:
                stream.trim(self.faults.retention)
            self._changed.notify_all()
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            return json_response({"error": "reply lost"}, 504)
        return json_response(Appended(offset=Offset(offset)))

    def _read(self, request: Request, name: str) -> Response:
        if self.faults.down:
            return json_response({"error": "down"}, 503)
        time.sleep(self.faults.delay)
        start = int(request.args.get("from", "0"))
        limit = int(request.args.get("limit", "1000"))
        wait = min(float(request.args.get("wait", "0")), MAX_READ_WAIT)
        with self._changed:
            stream = self._streams.setdefault(name, Stream())
            self._changed.wait_for(
                lambda: stream.end > start or self.faults.down or self._stopped, wait
            )
            start = max(start, stream.first)
            index = start - stream.first
            records = stream.records[index : index + limit]
            page = Page(
                first=Offset(stream.first),
                start=Offset(start),
                end=Offset(stream.end),
                records=records,
            )
        if self.faults.down:
            return json_response({"error": "down"}, 503)
        return json_response(page)

    def _list_hosts(self, request: Request) -> Response:
        now = time.monotonic()
        while self._host_changes and self._host_changes[0][0] <= now:
            change = self._host_changes.pop(0)[1]
            if change.state is None:
                self._hosts.pop(change.host, None)
            else:
                self._hosts[change.host] = change.state
        entries = [
            HostEntry(host=host, state=state) for host, state in self._hosts.items()
        ]
        return json_response(entries)

    def _change_host(self, request: Request) -> Response:
        change = msgspec.json.decode(request.get_data(), type=HostChange)
        self.set_host(change.host, change.state)
        return json_response({})

    def _reserve(self, request: Request, model: str, version: str) -> Response:
        now = time.monotonic()
        self._load_times = [due for due in self._load_times if due > now - 60]
        wait = 0.0
        if len(self._load_times) >= LOADS_PER_MINUTE:
            wait = max(0.0, self._load_times[-LOADS_PER_MINUTE] + 60 - now)
        self._load_times.append(now + wait)
        return json_response(ReserveReply(wait=wait))

    def _set_faults(self, request: Request) -> Response:
        self.faults = msgspec.json.decode(request.get_data(), type=Faults)
        with self._changed:
            self._changed.notify_all()
        return json_response({})

    def _statistics(self, request: Request) -> Response:
        return json_response({"appends": self.appends})
