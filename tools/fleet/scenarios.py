"""What happens to a fleet during each scenario."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fleet.fleet import Fleet, FleetOptions
from fleet.processes import call_json
from fleet.sizes import FAILURE_DOMAINS, Size, configuration
from fleet.topology import endpoint_route, link_route, store_route

MOVED_DOMAIN = "a"


@dataclass(frozen=True)
class Step:
    """Something done to the fleet at a share of the run's length."""

    at: float
    name: str
    action: Callable[[Fleet], None]


@dataclass(frozen=True)
class Scenario:
    """One kind of run."""

    name: str
    load: float = 1.3
    spread: str = "even"
    head_start_s: int = 0
    warm_up_s: int = 0
    flood_factor: float = 1.0
    is_warm: bool = True
    has_relays: bool = False
    has_baseline: bool = False
    steps: tuple[Step, ...] = ()

    def fleet_options(self, size: Size, fair_order: str, fixed_limit: int | None) -> FleetOptions:
        return FleetOptions(
            size=size,
            fair_order=fair_order,
            has_relays=self.has_relays,
            is_warm=self.is_warm,
            fixed_limit=fixed_limit,
        )


class StepRunner:
    """Runs a scenario's steps on a thread of its own and notes when each was done."""

    def __init__(self, fleet: Fleet, steps: tuple[Step, ...], length: float) -> None:
        self._fleet = fleet
        self._steps = steps
        self._length = length
        self._started = time.monotonic()
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.done: dict[str, float] = {}
        self.errors: list[str] = []
        self._thread.start()

    def stop(self) -> None:
        self._is_over.set()
        self._thread.join()

    def _run(self) -> None:
        for step in self._steps:
            wait = self._started + step.at * self._length - time.monotonic()
            if wait > 0 and self._is_over.wait(wait):
                return
            try:
                step.action(self._fleet)
            except Exception as error:  # pylint: disable=broad-except
                self.errors.append(f"{step.name}: {error}")
            self.done[step.name] = time.monotonic() - self._started


def set_faults(fleet: Fleet, names: list[str], faults: dict[str, Any]) -> None:
    for name in names:
        control = fleet.endpoints[name].listening()["control"]
        call_json("PUT", f"http://{control}/faults", faults)


def set_store_faults(fleet: Fleet, faults: dict[str, Any]) -> None:
    call_json("PUT", f"http://{fleet.store.listening()['control']}/faults", faults)


def go_cold(fleet: Fleet) -> None:
    set_faults(fleet, list(fleet.engines())[::3], {"go_cold": True})


def take_out(fleet: Fleet) -> None:
    fleet.apply(configuration(fleet.size, [MOVED_DOMAIN]), "operator")


def bring_back(fleet: Fleet) -> None:
    fleet.apply(configuration(fleet.size), "operator")


def partition_routes(fleet: Fleet) -> list[str]:
    """Returns the routes between the moved failure domain and all else."""
    routes = [store_route(MOVED_DOMAIN)]
    for agent in fleet.agents():
        for domain in FAILURE_DOMAINS:
            if (domain == MOVED_DOMAIN) != (agent.failure_domain == MOVED_DOMAIN):
                routes.append(link_route(domain, agent.name))
    return routes


def part(fleet: Fleet) -> None:
    assert fleet.relay is not None
    fleet.relay.set_modes("silent", partition_routes(fleet))


def join(fleet: Fleet) -> None:
    assert fleet.relay is not None
    fleet.relay.set_modes("pass", partition_routes(fleet))


def silence_links(fleet: Fleet) -> None:
    assert fleet.relay is not None
    routes = [link_route(MOVED_DOMAIN, agent.name) for agent in fleet.agents()]
    fleet.relay.set_modes("silence-open", routes)


def silence_endpoints(fleet: Fleet) -> None:
    assert fleet.relay is not None
    fleet.relay.set_modes("silence-open", [endpoint_route(name) for name in list(fleet.endpoints)[::3]])


def kill_and_start(names: Callable[[Fleet], list[str]]) -> Callable[[Fleet], None]:
    """Returns an action that kills daemons and starts them again, empty."""

    def action(fleet: Fleet) -> None:
        for name in names(fleet):
            daemon = fleet.daemons[name]
            assert daemon.process is not None
            daemon.process.kill()
            fleet.start_daemon(daemon)
            daemon.process.listening()

    return action


def stop_and_start(name: str) -> Callable[[Fleet], None]:
    """Returns an action that stops a daemon as planned, waits for its end and starts it again."""

    def action(fleet: Fleet) -> None:
        daemon = fleet.daemons[name]
        assert daemon.process is not None
        daemon.process.send_signal(signal.SIGTERM)
        code = daemon.process.wait(30.0)
        fleet.start_daemon(daemon)
        daemon.process.listening()
        if code != 0:
            raise RuntimeError(f"{name} ended with code {code}")

    return action


def some_agents(fleet: Fleet) -> list[str]:
    return [it.name for it in fleet.agents() if it.endpoint in ("engine-01", "engine-02", "plain-01")]


MOVE = (Step(0.25, "take-out", take_out), Step(0.55, "return", bring_back))
OUTAGE = (
    Step(0.2, "store-out", lambda fleet: set_store_faults(fleet, {"out": True})),
    Step(0.7, "store-back", lambda fleet: set_store_faults(fleet, {"out": False})),
)
PARTITION = (Step(0.25, "part", part), Step(0.6, "join", join))

SCENARIOS = {
    it.name: it
    for it in (
        Scenario("steady", load=1.6, head_start_s=5, warm_up_s=8, has_baseline=True),
        Scenario("skewed", load=1.6, head_start_s=5, warm_up_s=8, spread="skewed", has_baseline=True),
        Scenario("flood", load=0.85, flood_factor=15.0, warm_up_s=8, has_baseline=True),
        Scenario("cold", is_warm=False, steps=(Step(0.6, "go-cold", go_cold),)),
        Scenario("domain-move", steps=MOVE),
        Scenario("partition", has_relays=True, steps=PARTITION),
        Scenario(
            "restart",
            steps=(
                Step(0.2, "kill-entry", kill_and_start(lambda _: ["entry-b"])),
                Step(0.4, "kill-agents", kill_and_start(some_agents)),
                Step(0.6, "stop-entry", stop_and_start("entry-c")),
            ),
        ),
        Scenario("store-outage", steps=OUTAGE),
        Scenario(
            "silent",
            has_relays=True,
            steps=(
                Step(0.25, "silence-links", silence_links),
                Step(0.5, "silence-endpoints", silence_endpoints),
            ),
        ),
    )
}
