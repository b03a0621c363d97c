"""Added latency against direct calls, and processor time per request and per streamed line."""

from __future__ import annotations

import http.client
import json
import statistics
import time
from typing import Any

from fleet.fleet import Fleet, FleetOptions
from fleet.metrics import fetch_pages
from fleet.processes import FleetError
from fleet.sizes import Size

PAIRS = 1000
WARM_UP_PAIRS = 50
STREAMS = 10
STREAM_LINES = 1000
IDLE_S = 4.0
ROLES = ("entry", "agent")
CPU = "hemlocknotch_process_cpu_seconds_total"


class Caller:
    """Makes one call after the other on a kept connection and times each."""

    def __init__(self, address: str, headers: dict[str, str]) -> None:
        host, port = address.rsplit(":", 1)
        self._connection = http.client.HTTPConnection(host, int(port))
        self._headers = headers
        self._count = 0

    def call(self, path: str, body: bytes) -> tuple[float, bytes]:
        """Returns milliseconds and the answer's body; raises FleetError on any status but 200."""
        self._count += 1
        headers = dict(self._headers)
        if "X-Request-Id" in headers:
            headers["X-Request-Id"] = f"{self._count:032x}"
        begin = time.perf_counter()
        self._connection.request("POST", path, body, headers)
        answer = self._connection.getresponse()
        text = answer.read()
        took = (time.perf_counter() - begin) * 1000
        if answer.status != 200:
            raise FleetError(f"status {answer.status}: {text[:200]!r}")
        return took, text

    def close(self) -> None:
        self._connection.close()


class Meter:
    """Processor time of all daemons of a role beyond what they use when idle."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._idle = {role: 0.0 for role in ROLES}
        self.start()
        time.sleep(IDLE_S)
        self._idle = {role: spent / IDLE_S for role, spent in self.spent().items()}

    def start(self) -> None:
        self._pages = fetch_pages(self._fleet)
        self._started = time.monotonic()

    def idle_share(self, role: str) -> float:
        """Returns the mean share of a core that a daemon uses when idle."""
        return self._idle[role] / sum(1 for it in self._fleet.daemons.values() if it.role == role)

    def spent(self) -> dict[str, float]:
        """Returns the seconds spent since `start`, by role."""
        pages = fetch_pages(self._fleet)
        elapsed = time.monotonic() - self._started
        spent = {role: -self._idle[role] * elapsed for role in ROLES}
        for name, page in pages.items():
            spent[self._fleet.daemons[name].role] += page.values[CPU] - self._pages[name].values[CPU]
        return spent


def measure_pairs(fleet: Fleet, size: Size, meter: Meter) -> dict[str, Any]:
    """Calls a plain service directly and through the fleet in turn."""
    account, profile = size.accounts[0], size.profiles[-1].name
    fleet_headers = {"Hemlocknotch-Account": account, "Hemlocknotch-Profile": profile}
    through = Caller(fleet.entries()[0].address, fleet_headers)
    service = next(iter(fleet.plain_services().values()))
    direct = Caller(service.listening()["http"], {"X-Request-Id": ""})
    body = b'{"work_ms": 1}'
    pairs = []
    for i in range(WARM_UP_PAIRS + PAIRS):
        if i == WARM_UP_PAIRS:
            meter.start()
        through_ms, through_text = through.call("/look", body)
        direct_ms, direct_text = direct.call("/look", body)
        if through_text != direct_text:
            raise FleetError("the fleet's answer differs from the direct one")
        if i >= WARM_UP_PAIRS:
            pairs.append((through_ms, direct_ms))
    spent = meter.spent()
    through.close()
    direct.close()
    added = sorted(a - b for a, b in pairs)
    figures = {
        "pairs": PAIRS,
        "direct_p50_ms": round(statistics.median(b for _, b in pairs), 3),
        "through_p50_ms": round(statistics.median(a for a, _ in pairs), 3),
        "added_p50_ms": round(statistics.median(added), 3),
        "added_p95_ms": round(added[int(0.95 * len(added))], 3),
    }
    for role in ROLES:
        figures[f"{role}_us_per_request"] = round(spent[role] * 1e6 / PAIRS, 1)
        figures[f"{role}_idle_share"] = round(meter.idle_share(role), 5)
    return figures


def measure_streams(fleet: Fleet, size: Size, meter: Meter) -> dict[str, Any]:
    """Streams long answers and counts processor time per line."""
    account, profile = size.accounts[0], size.profiles[0].name
    headers = {"Hemlocknotch-Account": account, "Hemlocknotch-Profile": profile}
    through = Caller(fleet.entries()[0].address, headers)
    meter.start()
    for i in range(STREAMS):
        body = json.dumps({"prompt": f"{i}", "max_tokens": STREAM_LINES}).encode()
        _, text = through.call("/v1/generate", body)
        if text.count(b"\n") != STREAM_LINES:
            raise FleetError(f"an answer has {text.count(bytes([10]))} lines")
    spent = meter.spent()
    through.close()
    figures: dict[str, Any] = {"lines": STREAMS * STREAM_LINES}
    for role in ROLES:
        figures[f"{role}_us_per_line"] = round(spent[role] * 1e6 / (STREAMS * STREAM_LINES), 2)
    return figures


def measure_latency(size: Size) -> dict[str, Any]:
    """Runs a small fleet without other load and returns all figures."""
    options = FleetOptions(size=size, engines=3, engine_arguments=["--step-ms", "1"])
    with Fleet(options) as fleet:
        meter = Meter(fleet)
        figures = measure_pairs(fleet, size, meter)
        figures.update(measure_streams(fleet, size, meter))
    return figures
