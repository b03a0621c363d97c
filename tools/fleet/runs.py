"""One run of a scenario: fleet, load, steps, samples, figures."""

from __future__ import annotations

import json
import statistics
import subprocess
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from fleet.fleet import PROGRAMS, Fleet
from fleet.metrics import Change, changes, fetch_pages
from fleet.processes import FleetError
from fleet.sampler import Sampler
from fleet.scenarios import MOVED_DOMAIN, Scenario, StepRunner
from fleet.sizes import Size

DRAIN_S = 3
LOAD_MARGIN_S = 60
ACCEPTANCE_LIMIT_S = 3.0
SHARE_TARGET = 0.9


@dataclass(frozen=True)
class RunOptions:
    """What one run is made of."""

    size: Size
    scenario: Scenario
    seed: int
    seconds: int
    fair_order: str = "damped"
    fixed_limit: int | None = None
    drain_seconds: int = DRAIN_S


def write_trace(path: Path, options: RunOptions) -> None:
    """Draws the run's trace."""
    command = [str(PROGRAMS / "trace-generate"), "--size", options.size.name]
    command += ["--seed", str(options.seed), "--seconds", str(options.seconds)]
    command += ["--load", str(options.scenario.load)]
    command += ["--head-start-seconds", str(options.scenario.head_start_s)]
    if options.scenario.flood_factor != 1.0:
        command += ["--flood-account", options.size.accounts[-1]]
        command += ["--flood-factor", str(options.scenario.flood_factor)]
    with open(path, "wb") as trace:
        subprocess.run(command, stdout=trace, check=True)


def load_command(fleet: Fleet, options: RunOptions, trace: Path) -> list[str]:
    """Returns the load tool's command line for a fleet."""
    command = ["load", "--size", options.size.name, "--trace", str(trace), "--seed", str(options.seed)]
    command += ["--seconds", str(options.seconds), "--drain-seconds", str(options.drain_seconds)]
    command += ["--warm-up-seconds", str(options.scenario.warm_up_s)]
    command += ["--spread", options.scenario.spread, "--record", str(fleet.directory / "records")]
    for entry in fleet.entries():
        command += ["--entry", f"{entry.name}={entry.address},{entry.operators}"]
    for engine in fleet.engines().values():
        command += ["--engine", engine.listening()["control"]]
    for service in fleet.plain_services().values():
        command += ["--plain", service.listening()["control"]]
    return command


def run_load(fleet: Fleet, command: list[str], seconds: float) -> dict[str, Any]:
    """Runs the load tool to its end and returns its figures."""
    program = PROGRAMS / command[0]
    done = subprocess.run(
        [str(program), *command[1:]], capture_output=True, timeout=seconds + LOAD_MARGIN_S, check=False
    )
    if done.returncode != 0:
        raise FleetError(f"load ended with code {done.returncode}: {done.stderr.decode()[-500:]}")
    return json.loads(done.stdout.splitlines()[-1])


def run_scenario(options: RunOptions, logs: Path | None = None) -> dict[str, Any]:
    """Runs one scenario once and returns all figures. Logs are kept in the directory `logs`, if given."""
    scenario = options.scenario
    with Fleet(scenario.fleet_options(options.size, options.fair_order, options.fixed_limit)) as fleet:
        trace = fleet.directory / "trace"
        write_trace(trace, options)
        before = fetch_pages(fleet)
        sampler = Sampler(fleet)
        steps = StepRunner(fleet, scenario.steps, options.seconds)
        try:
            figures = run_load(fleet, load_command(fleet, options, trace), options.seconds + DRAIN_S)
        finally:
            steps.stop()
            sampler.stop()
            if logs is not None:
                keep_logs(fleet, logs)
        figures.update(cost_figures(changes(fleet, before, fetch_pages(fleet)), figures))
        figures["falls"] = sampler.falls()
        figures["steps"] = {name: round(at, 2) for name, at in steps.done.items()}
        figures["step_errors"] = steps.errors
        figures.update(move_figures(sampler, steps, options))
        figures["ended_daemons"] = [it.name for it in fleet.daemons.values() if not it.process.is_running()]
        return figures


def keep_logs(fleet: Fleet, logs: Path) -> None:
    """Copies logs, spans and the load's records of a run."""
    logs.mkdir(parents=True, exist_ok=True)
    for path in fleet.directory.iterdir():
        if path.suffix in (".log", ".spans", ".json") or path.name in ("records", "trace"):
            (logs / path.name).write_bytes(path.read_bytes())


def cost_figures(found: dict[str, Change], figures: dict[str, Any]) -> dict[str, Any]:
    """Returns control traffic and processor time, by role where roles differ."""
    result: dict[str, Any] = {}
    rates = {name: it.control_bytes / it.seconds for name, it in found.items() if it.seconds > 0}
    result["control_bytes_per_second"] = {
        "max": round(max(rates.values())),
        "mean": round(statistics.fmean(rates.values())),
    }
    for role in ("entry", "agent"):
        own = [it for it in found.values() if it.role == role]
        seconds = statistics.fmean(it.seconds for it in own)
        result["control_bytes_per_second"][f"{role}_mean"] = round(
            statistics.fmean(it.control_bytes / it.seconds for it in own if it.seconds > 0)
        )
        result[f"{role}_processor_share_mean"] = round(
            statistics.fmean(it.processor_seconds / it.seconds for it in own if it.seconds > 0), 4
        )
        result[f"{role}_processor_us_per_request"] = round(
            sum(it.processor_seconds for it in own) * 1e6 / max(1, figures["requests"]), 1
        )
        result[f"{role}_resident_mb_max"] = round(max(it.resident_bytes for it in own) / 1e6, 1)
        kinds = sorted({kind for it in own for kind in it.bytes_by_kind})
        result[f"{role}_bytes_per_second_by_kind"] = {
            kind: round(statistics.fmean(it.bytes_by_kind.get(kind, 0.0) for it in own) / seconds)
            for kind in kinds
        }
    result["store_calls_per_second"] = round(sum(it.store_calls / it.seconds for it in found.values()), 2)
    return result


def move_figures(sampler: Sampler, steps: StepRunner, options: RunOptions) -> dict[str, Any]:
    """Returns what became of the failure domain that was taken out and returned."""
    if "take-out" not in steps.done or "return" not in steps.done:
        return {}
    out, back, end = steps.done["take-out"], steps.done["return"], float(options.seconds)
    moved = sampler.in_domain(MOVED_DOMAIN)
    engines = {name for name in moved if name.startswith("engine")}
    others = sampler.engines_outside(MOVED_DOMAIN)
    share = sampler.time_to_share(engines, others, back, SHARE_TARGET, end)
    left = sampler.utilisation(others, out + ACCEPTANCE_LIMIT_S, back)
    return {
        "late_dispatches": sampler.started_between(moved, out + ACCEPTANCE_LIMIT_S, back),
        "utilisation_remaining": None if left is None else round(left, 4),
        "return_to_share_s": None if share is None else round(share, 1),
    }
