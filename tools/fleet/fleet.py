"""A fleet of the real programs with stand-ins for endpoints and platform, on loopback."""

from __future__ import annotations

import json
import signal
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from fleet.processes import FleetError, Process, call, call_json, wait_until
from fleet.sizes import FAILURE_DOMAINS, Size, configuration
from fleet.topology import Relay, endpoint_route, link_route, store_route

ANY_ADDRESS = "127.0.0.1:0"
PROGRAMS = Path(__file__).resolve().parents[2] / "build" / "bin"
PLAIN_LIMIT = 16
CONFIGURATION_KEY = "/v1/kv/hemlocknotch/configuration"


@dataclass
class FleetOptions:
    """How a fleet is started."""

    size: Size
    fair_order: str = "damped"
    has_relays: bool = False
    is_warm: bool = True
    engine_arguments: list[str] = field(default_factory=list)
    entry_limits: dict[str, Any] = field(default_factory=dict)
    agent_limits: dict[str, Any] = field(default_factory=dict)
    instance_lag_ms: int = 1000
    log_level: str = "info"
    entries_per_domain: int = 1
    engines: int | None = None
    plain_services: int | None = None
    fixed_limit: int | None = None


@dataclass
class Daemon:
    """One entry or agent and what is needed to start it again."""

    name: str
    role: str
    failure_domain: str
    settings: dict[str, Any]
    endpoint: str = ""
    process: Process | None = None

    @property
    def operators(self) -> str:
        assert self.process is not None
        return self.process.listening()["operators"]

    @property
    def address(self) -> str:
        assert self.process is not None
        return self.process.listening()["callers" if self.role == "entry" else "links"]


class Fleet:
    """Starts everything on entering, ends every process of its own on leaving."""

    def __init__(self, options: FleetOptions) -> None:
        self.options = options
        self.size = options.size
        self._directory = tempfile.TemporaryDirectory(prefix="hemlocknotch-fleet-")
        self.directory = Path(self._directory.name)
        self._processes: list[Process] = []
        self.endpoints: dict[str, Process] = {}
        self.daemons: dict[str, Daemon] = {}
        self.lists: dict[str, Process] = {}
        self.store: Process
        self.relay: Relay | None = None
        self.domain_of: dict[str, str] = {}

    def __enter__(self) -> "Fleet":
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Ends all processes by their ids, entries first."""
        running = [process for process in self._processes if process.is_running()]
        for process in running:
            process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        for process in running:
            process.send_signal(signal.SIGKILL)
        for process in self._processes:
            process.wait()
        self._directory.cleanup()

    def entries(self) -> list[Daemon]:
        return [it for it in self.daemons.values() if it.role == "entry"]

    def agents(self) -> list[Daemon]:
        return [it for it in self.daemons.values() if it.role == "agent"]

    def engines(self) -> dict[str, Process]:
        return {name: it for name, it in self.endpoints.items() if name.startswith("engine")}

    def plain_services(self) -> dict[str, Process]:
        return {name: it for name, it in self.endpoints.items() if name.startswith("plain")}

    def run(self, name: str, command: list[str]) -> Process:
        """Starts a program of build/bin as a child of this fleet."""
        program = PROGRAMS / command[0]
        if not program.exists():
            raise FleetError(f"{program} is not built; run tools/build")
        process = Process(name, [str(program), *command[1:]], self.directory / f"{name}.log")
        self._processes.append(process)
        return process

    def _start(self) -> None:
        self._start_platform()
        self._start_endpoints()
        self._start_daemons()
        self.apply(configuration(self.size), "start")
        self.wait_ready()

    def _start_platform(self) -> None:
        self.store = self.run("store", ["standin-key-value"])
        lag = ["--lag-ms", str(self.options.instance_lag_ms)]
        if self.options.has_relays:
            self.relay = Relay(self.run("relay", ["standin-relay"]))
            for domain in FAILURE_DOMAINS:
                self.lists[domain] = self.run(f"instances-{domain}", ["standin-instances", *lag])
        else:
            shared = self.run("instances", ["standin-instances", *lag])
            self.lists = {domain: shared for domain in FAILURE_DOMAINS}

    def _start_endpoints(self) -> None:
        engine_count = self.options.engines or self.size.engines
        plain_count = self.options.plain_services or self.size.plain_services
        warm = ["--start-warm"] if self.options.is_warm else []
        for i in range(engine_count):
            name = f"engine-{i:02}"
            self.endpoints[name] = self.run(name, ["standin-engine", *warm, *self.options.engine_arguments])
            self.domain_of[name] = FAILURE_DOMAINS[i % len(FAILURE_DOMAINS)]
        for i in range(plain_count):
            name = f"plain-{i:02}"
            self.endpoints[name] = self.run(name, ["standin-plain"])
            self.domain_of[name] = FAILURE_DOMAINS[i % len(FAILURE_DOMAINS)]

    def _common_settings(self, name: str, domain: str) -> dict[str, Any]:
        store = self.store.listening()["http"]
        if self.relay is not None:
            store = self.relay.route(store_route(domain), store)
        return {
            "name": name,
            "failure_domain": domain,
            "operators_address": ANY_ADDRESS,
            "key_value_service": store,
            "instance_list": self.lists[domain].listening()["http"],
            "log": {"level": self.options.log_level},
            "trace_output": str(self.directory / f"{name}.spans"),
        }

    def _start_daemons(self) -> None:
        for domain in FAILURE_DOMAINS:
            for i in range(self.options.entries_per_domain):
                name = f"entry-{domain}" if i == 0 else f"entry-{domain}{i}"
                settings = self._common_settings(name, domain)
                settings["callers_address"] = ANY_ADDRESS
                settings["limits"] = self.options.entry_limits
                self.daemons[name] = Daemon(name, "entry", domain, settings)
        for endpoint, process in self.endpoints.items():
            name = f"agent-{endpoint}"
            settings = self._agent_settings(name, endpoint, process)
            self.daemons[name] = Daemon(name, "agent", self.domain_of[endpoint], settings, endpoint)
        for daemon in self.daemons.values():
            self.start_daemon(daemon)
        for daemon in self.daemons.values():
            self.register(daemon)

    def _agent_settings(self, name: str, endpoint: str, process: Process) -> dict[str, Any]:
        is_engine = endpoint.startswith("engine")
        address = process.listening()["http"]
        if self.relay is not None:
            address = self.relay.route(endpoint_route(endpoint), address)
        settings = self._common_settings(name, self.domain_of[endpoint])
        settings["links_address"] = ANY_ADDRESS
        settings["service"] = self.size.model_service if is_engine else self.size.plain_service
        settings["endpoint"] = {"address": address, "kind": "engine" if is_engine else "plain"}
        settings["fair_order"] = self.options.fair_order
        settings["limits"] = self.options.agent_limits
        fixed = self.options.fixed_limit if is_engine else PLAIN_LIMIT
        if fixed is not None:
            settings["concurrency"] = {"initial": fixed, "max": fixed, "fixed": True}
        return settings

    def start_daemon(self, daemon: Daemon) -> None:
        """Starts a daemon, or starts it again where it stood before."""
        if daemon.process is not None:
            own = "callers_address" if daemon.role == "entry" else "links_address"
            daemon.settings[own] = daemon.address
            daemon.settings["operators_address"] = daemon.operators
        path = self.directory / f"{daemon.name}.json"
        path.write_text(json.dumps(daemon.settings, indent=2))
        daemon.process = self.run(daemon.name, ["hemlocknotchd", daemon.role, "--settings", str(path)])

    def register(self, daemon: Daemon, state: str = "live") -> None:
        """Writes a daemon into every instance list."""
        for domain in FAILURE_DOMAINS if self.relay is not None else FAILURE_DOMAINS[:1]:
            entry = {
                "role": daemon.role,
                "address": self._address_seen_from(domain, daemon),
                "operators": daemon.operators,
                "failure_domain": daemon.failure_domain,
                "service": daemon.settings.get("service", ""),
                "state": state,
            }
            call_json("PUT", f"http://{self.lists[domain].listening()['http']}/instances/{daemon.name}", entry)

    def unregister(self, daemon: Daemon) -> None:
        """Removes a daemon from every instance list."""
        for domain in FAILURE_DOMAINS if self.relay is not None else FAILURE_DOMAINS[:1]:
            call("DELETE", f"http://{self.lists[domain].listening()['http']}/instances/{daemon.name}")

    def _address_seen_from(self, domain: str, daemon: Daemon) -> str:
        if self.relay is None or daemon.role == "entry":
            return daemon.address
        return self.relay.route(link_route(domain, daemon.name), daemon.address)

    def apply(self, document: dict[str, Any], author: str) -> int:
        """Writes a configuration into the key-value service and returns its revision."""
        url = "http://" + self.store.listening()["http"] + CONFIGURATION_KEY
        status, body, headers = call("GET", url)
        version, revision = 0, 0
        if status == 200:
            version, revision = int(headers["X-Version"]), json.loads(body)["revision"]
        value = {
            "revision": revision + 1,
            "author": author,
            "applied_at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
            "document": json.dumps(document),
        }
        status, answer, _ = call("PUT", f"{url}?expect={version}", json.dumps(value).encode())
        if status != 200:
            raise FleetError(f"the configuration was not accepted: status {status}: {answer[:200]!r}")
        return revision + 1

    def status(self, daemon: Daemon) -> dict[str, Any]:
        return call_json("GET", f"http://{daemon.operators}/status")

    def is_ready(self, daemon: Daemon) -> bool:
        try:
            return call("GET", f"http://{daemon.operators}/readyz")[0] == 200
        except OSError:
            return False

    def wait_ready(self) -> None:
        """Waits until every daemon takes work and every entry is linked to every agent."""
        for daemon in self.daemons.values():
            daemon.process.listening()
        for daemon in self.daemons.values():
            wait_until(lambda it=daemon: self.is_ready(it), f"{daemon.name} is ready")
        agents = len(self.agents())
        for entry in self.entries():
            wait_until(
                lambda it=entry: link_count(self.status(it)) >= agents, f"{entry.name} has links to all agents"
            )


def link_count(status: dict[str, Any]) -> int:
    """Returns the number of links in a status page, given as a number or as a list."""
    links = status["links"]
    return links if isinstance(links, int) else len(links)
