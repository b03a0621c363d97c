"""Child processes that say where they listen, and small HTTP calls to them."""

from __future__ import annotations

import json
import os
import select
import signal
import subprocess
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

START_LIMIT_S = 20.0
STOP_LIMIT_S = 10.0
CALL_LIMIT_S = 5.0


class FleetError(Exception):
    """Something of the fleet did not start, answer or end in time."""


class Process:
    """One child process; its stderr goes to a file."""

    def __init__(self, name: str, command: list[str], log_path: Path) -> None:
        self.name = name
        self.command = command
        self._log = open(log_path, "ab")
        self._log_path = log_path
        self._child = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=self._log, stdin=subprocess.DEVNULL
        )
        self._listening: dict[str, str] | None = None

    @property
    def pid(self) -> int:
        return self._child.pid

    def is_running(self) -> bool:
        return self._child.poll() is None

    def listening(self) -> dict[str, str]:
        """Returns the addresses in the process's first line, waiting for it if need be."""
        if self._listening is None:
            line = self._first_line()
            try:
                self._listening = json.loads(line)["listening"]
            except (ValueError, KeyError) as error:
                raise FleetError(f"{self.name} wrote no listening line: {line!r}{self._log_end()}") from error
        return self._listening

    def _first_line(self) -> bytes:
        stdout = self._child.stdout
        assert stdout is not None
        deadline = time.monotonic() + START_LIMIT_S
        line = b""
        while not line.endswith(b"\n"):
            left = deadline - time.monotonic()
            if left <= 0 or not select.select([stdout], [], [], left)[0]:
                raise FleetError(f"{self.name} does not listen after {START_LIMIT_S} s{self._log_end()}")
            part = os.read(stdout.fileno(), 4096)
            if not part:
                raise FleetError(f"{self.name} ended with code {self._child.wait()}{self._log_end()}")
            line += part
        return line

    def _log_end(self) -> str:
        self._log.flush()
        lines = self._log_path.read_text(errors="replace").splitlines()[-5:]
        return "".join("\n    " + line for line in lines)

    def send_signal(self, number: int) -> None:
        if self.is_running():
            self._child.send_signal(number)

    def wait(self, limit: float = STOP_LIMIT_S) -> int:
        """Waits for the end and returns the exit code; kills the process after `limit` seconds."""
        try:
            return self._child.wait(limit)
        except subprocess.TimeoutExpired:
            self._child.kill()
            return self._child.wait()
        finally:
            self.close()

    def kill(self) -> None:
        """Ends the process at once, without a chance to clean up."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def close(self) -> None:
        if self._child.stdout is not None:
            self._child.stdout.close()
        self._log.close()

    def processor_seconds(self) -> float:
        """Returns the processor time used so far, user and system; 0 once the process has ended."""
        try:
            stat = Path(f"/proc/{self.pid}/stat").read_text()
        except OSError:
            return 0.0
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self) -> int:
        """Returns the resident memory; 0 once the process has ended."""
        try:
            pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        except OSError:
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE")


def call(
    method: str, url: str, body: bytes | None = None, headers: dict[str, str] | None = None
) -> tuple[int, bytes, dict[str, str]]:
    """Makes one HTTP call and returns status, body and headers; raises OSError where there is no answer."""
    request = urllib.request.Request(url, data=body, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=CALL_LIMIT_S) as answer:
            return answer.status, answer.read(), dict(answer.headers)
    except urllib.error.HTTPError as error:
        return error.code, error.read(), dict(error.headers)


def call_json(method: str, url: str, body: Any = None) -> Any:
    """Makes one HTTP call with JSON both ways; raises FleetError on any status but 2xx."""
    data = None if body is None else json.dumps(body).encode()
    status, answer, _ = call(method, url, data)
    if not 200 <= status < 300:
        raise FleetError(f"{method} {url}: status {status}: {answer[:200]!r}")
    return json.loads(answer) if answer else None


def wait_until(condition, what: str, limit: float = START_LIMIT_S, interval: float = 0.05) -> None:
    """Waits until `condition()` is true; raises FleetError that names `what` after `limit` seconds."""
    deadline = time.monotonic() + limit
    while not condition():
        if time.monotonic() > deadline:
            raise FleetError(f"{what}: not within {limit} s")
        time.sleep(interval)
