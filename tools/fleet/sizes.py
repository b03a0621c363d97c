"""The two deployments that fleets are started for, and their configuration documents."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

FAILURE_DOMAINS = ("a", "b", "c")
MODEL_DEADLINE_MS = 120_000
PROMPT_DEADLINE_MS = 60_000
PLAIN_DEADLINE_MS = 10_000
MAX_BODY_BYTES = 1024 * 1024
LARGE_WEIGHT = 3
ATTEMPTS = 4


@dataclass(frozen=True)
class Profile:
    """How one kind of work is treated."""

    name: str
    is_model: bool
    is_idempotent: bool
    urgency: str


@dataclass(frozen=True)
class Size:
    """One deployment: how many of each, and who asks for what."""

    name: str
    model_service: str
    plain_service: str
    engines: int
    plain_services: int
    accounts: tuple[str, ...]
    large_accounts: int
    profiles: tuple[Profile, ...]

    def weights(self) -> dict[str, int]:
        return {name: LARGE_WEIGHT if i < self.large_accounts else 1 for i, name in enumerate(self.accounts)}


SAADRUIL = Size(
    name="saadruil",
    model_service="gardener",
    plain_service="booking",
    engines=20,
    plain_services=3,
    accounts=("township-north", "township-south", "farm-union") + tuple(f"plot-{i:02}" for i in range(1, 14)),
    large_accounts=3,
    profiles=(
        Profile("planting-calendar", True, True, "slow"),
        Profile("pest-answer", True, True, "prompt"),
        Profile("seed-label", True, True, "prompt"),
        Profile("book-parcel", False, False, "prompt"),
        Profile("check-stock", False, True, "normal"),
    ),
)

FASSREGISTER = Size(
    name="fassregister",
    model_service="cask-model",
    plain_service="register",
    engines=10,
    plain_services=3,
    accounts=("customs-office", "cantonal-register", "jura-union")
    + tuple(f"distillery-{i:02}" for i in range(1, 14)),
    large_accounts=3,
    profiles=(
        Profile("cask-history", True, True, "slow"),
        Profile("label-draft", True, True, "prompt"),
        Profile("classification", True, True, "normal"),
        Profile("record-transfer", False, False, "prompt"),
        Profile("look-up", False, True, "normal"),
    ),
)

SIZES = {size.name: size for size in (SAADRUIL, FASSREGISTER)}


def profile_entry(size: Size, profile: Profile) -> dict[str, Any]:
    """Returns one profile as it stands in the configuration."""
    entry: dict[str, Any] = {
        "service": size.model_service if profile.is_model else size.plain_service,
        "idempotent": profile.is_idempotent,
        "urgency": profile.urgency,
        "max_body_bytes": MAX_BODY_BYTES,
        "max_attempts": ATTEMPTS if profile.is_idempotent else 1,
    }
    if profile.is_model:
        entry["resumable"] = True
        entry["deadline_ms"] = MODEL_DEADLINE_MS if profile.urgency == "slow" else PROMPT_DEADLINE_MS
    else:
        entry["deadline_ms"] = PLAIN_DEADLINE_MS
    return entry


def configuration(size: Size, out_domains: list[str] | None = None) -> dict[str, Any]:
    """Returns the configuration document of a deployment with `out_domains` out of service."""
    return {
        "services": {
            size.model_service: {"cost_unit": "lines", "initial_estimate": 150},
            size.plain_service: {"cost_unit": "requests", "initial_estimate": 1},
        },
        "profiles": {profile.name: profile_entry(size, profile) for profile in size.profiles},
        "client_accounts": {name: {"weight": weight} for name, weight in size.weights().items()},
        "out_of_service": {"failure_domains": out_domains or [], "instances": []},
    }
