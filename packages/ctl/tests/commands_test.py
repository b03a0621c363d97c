#!/usr/bin/env python3
"""Runs hemlocknotchctl against the stand-ins of the platform's services, with their faults.

Called with the directory of the built programs.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import unittest
import urllib.request
from pathlib import Path

PROGRAMS = Path(sys.argv.pop(1))
DOCUMENT = """{
  // A remark.
  "services": {"gardener": {"cost_unit": "lines"}},
  "profiles": {"calendar": {"service": "gardener", "idempotent": true, "deadline_ms": 1000, "max_body_bytes": 1000}},
  "client_accounts": {"farm": {"weight": WEIGHT}}
}
"""


def put(address: str, path: str, value: dict[str, object]) -> None:
    request = urllib.request.Request(f"http://{address}{path}", json.dumps(value).encode(), method="PUT")
    with urllib.request.urlopen(request, timeout=10) as answer:
        answer.read()


class Service:
    """One stand-in as a child process."""

    def __init__(self, program: str, *arguments: str) -> None:
        command = [str(PROGRAMS / program), *arguments]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert self.process.stdout is not None
        self.addresses = json.loads(self.process.stdout.readline())["listening"]

    def close(self) -> None:
        self.process.terminate()
        self.process.wait()
        assert self.process.stdout is not None
        self.process.stdout.close()


class CommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Service("standin-key-value")
        self.addCleanup(self.store.close)
        self.list = Service("standin-instances", "--lag-ms", "0")
        self.addCleanup(self.list.close)
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)

    def document(self, weight: int) -> str:
        path = Path(self.directory.name) / f"{weight}.json"
        path.write_text(DOCUMENT.replace("WEIGHT", str(weight)))
        return str(path)

    def start(self, *arguments: str) -> subprocess.Popen[str]:
        environment = dict(os.environ, HEMLOCKNOTCH_STORE=self.store.addresses["http"], USER="ana")
        command = [str(PROGRAMS / "hemlocknotchctl"), "--timeout-ms", "500", "--json", *arguments]
        pipe = subprocess.PIPE
        return subprocess.Popen(command, env=environment, stdout=pipe, stderr=pipe, text=True)

    def run_command(self, *arguments: str) -> tuple[int, str]:
        process = self.start(*arguments)
        out, _ = process.communicate(timeout=60)
        return process.returncode, out

    def shown(self) -> dict[str, object]:
        code, out = self.run_command("show")
        self.assertEqual(code, 0)
        return json.loads(out)

    def set_fault(self, **fault: object) -> None:
        put(self.store.addresses["control"], "/faults", fault)

    def test_a_lost_answer_is_settled(self) -> None:
        self.assertEqual(self.run_command("apply", self.document(1))[0], 0)
        self.set_fault(lose_answers=True)
        self.assertEqual(self.run_command("apply", self.document(2))[0], 0)
        self.assertEqual(self.run_command("take-out", "failure-domain", "a")[0], 0)
        self.set_fault(lose_answers=False)
        shown = self.shown()
        self.assertEqual(shown["revision"], 3)
        self.assertIn("// A remark.", str(shown["document"]))

    def test_a_service_that_is_out_or_silent_changes_nothing(self) -> None:
        self.assertEqual(self.run_command("show")[0], 6)
        self.assertEqual(self.run_command("apply", self.document(1))[0], 0)
        for fault in ("out", "silent"):
            self.set_fault(**{fault: True})
            code, out = self.run_command("apply", self.document(2))
            self.assertEqual((code, json.loads(out)["status"]), (5, "unavailable"))
            self.assertEqual(self.run_command("show")[0], 5)
            self.set_fault(**{fault: False})
        self.assertEqual(self.shown()["revision"], 1)

    def test_of_two_documents_from_one_revision_one_wins(self) -> None:
        self.assertEqual(self.run_command("apply", self.document(1))[0], 0)
        racers = [self.start("apply", self.document(n), "--base", "1", "--author", f"racer-{n}") for n in (2, 3, 4)]
        answers = [json.loads(it.communicate(timeout=60)[0]) for it in racers]
        self.assertEqual(sorted(it.returncode for it in racers), [0, 4, 4])
        winner = str(self.shown()["author"])
        for answer in answers:
            if answer["status"] == "conflict":
                self.assertEqual(answer["winner"]["author"], winner)
                self.assertEqual(answer["differences"][0]["path"], "client_accounts.farm.weight")

    def test_instances_taken_out_at_once_are_all_out(self) -> None:
        self.assertEqual(self.run_command("apply", self.document(1))[0], 0)
        names = [f"agent-{n}" for n in range(5)]
        racers = [self.start("take-out", "instance", name) for name in names]
        for it in racers:
            it.communicate(timeout=60)
        self.assertEqual([it.returncode for it in racers], [0] * len(names))
        document = str(self.shown()["document"])
        self.assertTrue(all(f'"{name}"' in document for name in names))
        self.assertEqual(self.run_command("return", "instance", "agent-9")[0], 6)

    def test_a_daemon_without_an_answer_is_waited_for(self) -> None:
        instances = ("--instances", self.list.addresses["http"])
        # Port 1 of the loopback has no listener.
        daemon = {"role": "entry", "address": "127.0.0.1:1", "operators": "127.0.0.1:1", "failure_domain": "a"}
        put(self.list.addresses["http"], "/instances/entry-a", {"name": "entry-a", "state": "live", **daemon})
        code, out = self.run_command("status", *instances)
        self.assertEqual((code, json.loads(out)["daemons"][0]["health"]), (0, "no-answer"))
        wait = ("--wait", "--wait-limit", "0", *instances)
        self.assertEqual(self.run_command("apply", self.document(1), *wait)[0], 7)
        self.assertEqual(self.run_command("take-out", "failure-domain", "b", *instances)[0], 6)
        self.assertEqual(self.run_command("take-out", "failure-domain", "a", *instances)[0], 0)
        self.assertEqual(self.run_command("apply", self.document(1), "--wait")[0], 2)


if __name__ == "__main__":
    unittest.main()
