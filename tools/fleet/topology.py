"""Addresses as each failure domain sees them: direct, or through relays that can be cut."""

from __future__ import annotations

from fleet.processes import Process, call_json


class Relay:
    """One relay process with named routes."""

    def __init__(self, process: Process) -> None:
        self._url = "http://" + process.listening()["http"]
        self._names: list[str] = []

    def route(self, name: str, target: str) -> str:
        """Adds a route to `target`, or points an existing one to it, and returns where it listens."""
        answer = call_json("PUT", f"{self._url}/routes/{name}", {"to": target})
        if name not in self._names:
            self._names.append(name)
        return answer["address"]

    def set_mode(self, name: str, mode: str) -> None:
        """Sets a route's mode: pass, cut, silent, refuse or silence-open (docs/STANDINS.md)."""
        call_json("PUT", f"{self._url}/routes/{name}", {"mode": mode})

    def set_modes(self, mode: str, names: list[str]) -> None:
        for name in names:
            self.set_mode(name, mode)

    def names(self) -> list[str]:
        return list(self._names)


def link_route(from_domain: str, agent: str) -> str:
    """Returns the name of the route from the entries of a failure domain to an agent."""
    return f"{from_domain}-to-{agent}"


def endpoint_route(endpoint: str) -> str:
    """Returns the name of the route from an agent to its endpoint."""
    return f"endpoint-{endpoint}"


def store_route(from_domain: str) -> str:
    """Returns the name of the route from a failure domain to the key-value service."""
    return f"{from_domain}-to-store"
