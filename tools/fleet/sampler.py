"""Samples what the endpoints do while a scenario runs."""

from __future__ import annotations

import math
import threading
import time
from dataclasses import dataclass
from typing import Any

from fleet.fleet import Fleet
from fleet.processes import call_json

INTERVAL_S = 0.5
SHARE_WINDOW_S = 2.0


@dataclass(frozen=True)
class Sample:
    """One endpoint at one time, in seconds since the sampler's start."""

    time: float
    endpoint: str
    page: dict[str, Any]


class Sampler:
    """Asks every endpoint for its state each half second, on a thread of its own."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._controls = {name: it.listening()["control"] for name, it in fleet.endpoints.items()}
        self._started = time.monotonic()
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.samples: list[Sample] = []
        self._thread.start()

    def stop(self) -> None:
        self._is_over.set()
        self._thread.join()

    def elapsed(self) -> float:
        return time.monotonic() - self._started

    def _run(self) -> None:
        while not self._is_over.wait(INTERVAL_S):
            for name, address in self._controls.items():
                try:
                    page = call_json("GET", f"http://{address}/model")
                except OSError:
                    continue
                self.samples.append(Sample(self.elapsed(), name, page))

    def _of(self, names: set[str], begin: float, end: float) -> list[Sample]:
        return [it for it in self.samples if it.endpoint in names and begin <= it.time < end]

    def in_domain(self, domain: str) -> set[str]:
        return {name for name in self._controls if self._fleet.domain_of[name] == domain}

    def engines_outside(self, domain: str) -> set[str]:
        return set(self._fleet.engines()) - self.in_domain(domain)

    def falls(self) -> int:
        """Returns how often engines have failed under load."""
        last = {it.endpoint: it.page.get("falls", 0) for it in self.samples}
        return sum(last.values())

    def utilisation(self, names: set[str], begin: float, end: float) -> float | None:
        """Returns running requests over whole places of engines in a stretch of time."""
        used = room = 0.0
        for it in self._of(names, begin, end):
            places = math.floor(it.page["capacity"])
            used += min(it.page["running"], places)
            room += places
        return used / room if room else None

    def started_between(self, names: set[str], begin: float, end: float) -> int:
        """Returns the requests that endpoints began between the first and the last sample of a stretch."""
        first: dict[str, int] = {}
        last: dict[str, int] = {}
        for it in self._of(names, begin, end):
            first.setdefault(it.endpoint, it.page["started"])
            last[it.endpoint] = it.page["started"]
        return sum(last[name] - first[name] for name in last)

    def line_rate(self, names: set[str], begin: float, end: float) -> float:
        """Returns the lines a second that one of `names` produced on average in a stretch of time."""
        first: dict[str, Sample] = {}
        last: dict[str, Sample] = {}
        for it in self._of(names, begin, end):
            first.setdefault(it.endpoint, it)
            last[it.endpoint] = it
        rates = [
            (last[name].page["tokens"] - first[name].page["tokens"]) / (last[name].time - first[name].time)
            for name in last
            if last[name].time > first[name].time
        ]
        return sum(rates) / len(names) if names else 0.0

    def time_to_share(
        self, names: set[str], others: set[str], returned: float, target: float, end: float
    ) -> float | None:
        """Returns when after `returned` engines first produce `target` of what others do, in seconds."""
        at = returned + SHARE_WINDOW_S
        while at <= end:
            own = self.line_rate(names, at - SHARE_WINDOW_S, at)
            other = self.line_rate(others, at - SHARE_WINDOW_S, at)
            if other > 0 and own >= target * other:
                return at - returned
            at += INTERVAL_S
        return None
