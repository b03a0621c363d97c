"""Reads daemons' metrics pages and turns two of them into rates."""

from __future__ import annotations

import re
from dataclasses import dataclass

from fleet.fleet import Daemon, Fleet
from fleet.processes import call

LINE = re.compile(r"^(?P<name>[a-z_]+)(\{(?P<labels>[^}]*)\})? (?P<value>\S+)$")
KIND = re.compile(r'kind="([^"]+)"')


@dataclass(frozen=True)
class Page:
    """One daemon's metrics at one time."""

    values: dict[str, float]
    sent_by_kind: dict[str, float]
    received_by_kind: dict[str, float]

    def control_bytes(self) -> float:
        return self.values.get("hemlocknotch_control_sent_bytes_total", 0.0) + self.values.get(
            "hemlocknotch_control_received_bytes_total", 0.0
        )


def parse_page(text: str) -> Page:
    """Reads the Prometheus text format; sums over labels."""
    values: dict[str, float] = {}
    sent: dict[str, float] = {}
    received: dict[str, float] = {}
    for line in text.splitlines():
        match = LINE.match(line)
        if match is None:
            continue
        name, value = match["name"], float(match["value"])
        values[name] = values.get(name, 0.0) + value
        kind = KIND.search(match["labels"] or "")
        if kind and name == "hemlocknotch_message_sent_bytes_total":
            sent[kind[1]] = value
        if kind and name == "hemlocknotch_message_received_bytes_total":
            received[kind[1]] = value
    return Page(values, sent, received)


def fetch_page(daemon: Daemon) -> Page | None:
    """Returns a daemon's metrics, or nothing where it does not answer."""
    try:
        return parse_page(call("GET", f"http://{daemon.operators}/metrics")[1].decode())
    except OSError:
        return None


def fetch_pages(fleet: Fleet) -> dict[str, Page]:
    """Returns the metrics of all daemons that answer, by name."""
    pages = {name: fetch_page(daemon) for name, daemon in fleet.daemons.items()}
    return {name: page for name, page in pages.items() if page is not None}


@dataclass(frozen=True)
class Change:
    """What one daemon did between two pages."""

    role: str
    seconds: float
    control_bytes: float
    processor_seconds: float
    resident_bytes: float
    store_calls: float
    bytes_by_kind: dict[str, float]


def changes(fleet: Fleet, before: dict[str, Page], after: dict[str, Page]) -> dict[str, Change]:
    """Compares pages by daemon; a daemon that was started again in between counts from zero."""
    found = {}
    for name, page in after.items():
        first = before.get(name, Page({}, {}, {}))
        uptime = "hemlocknotch_uptime_seconds"
        if page.values.get(uptime, 0.0) < first.values.get(uptime, 0.0):
            first = Page({}, {}, {})
        kinds = set(page.sent_by_kind) | set(page.received_by_kind)
        by_kind = {
            kind: sum(
                now.get(kind, 0.0) - then.get(kind, 0.0)
                for now, then in (
                    (page.sent_by_kind, first.sent_by_kind),
                    (page.received_by_kind, first.received_by_kind),
                )
            )
            for kind in kinds
        }

        def grown(key: str) -> float:
            return page.values.get(key, 0.0) - first.values.get(key, 0.0)

        found[name] = Change(
            role=fleet.daemons[name].role,
            seconds=grown(uptime),
            control_bytes=page.control_bytes() - first.control_bytes(),
            processor_seconds=grown("hemlocknotch_process_cpu_seconds_total"),
            resident_bytes=page.values.get("hemlocknotch_process_resident_bytes", 0.0),
            store_calls=grown("hemlocknotch_store_calls_total"),
            bytes_by_kind=by_kind,
        )
    return found
