"""The command line: errors and exit codes."""

import json
import os
import socket
import subprocess
import sys

import pytest
from world import SETTINGS

VALID_CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:1",
    "seed": "8c1f",
    "settings": SETTINGS,
}


def run(*arguments, config=None, tmp_path=None, **environment):
    if config is not None:
        path = tmp_path / "config.json"
        path.write_text(config if isinstance(config, str) else json.dumps(config))
        environment["RELAY_CONFIG"] = str(path)
    environment_without_relay = {
        name: value for name, value in os.environ.items() if not name.startswith("RELAY_")
    }
    return subprocess.run(
        [sys.executable, "-m", "carthinge", *arguments],
        env={**environment_without_relay, **environment},
        text=True,
        capture_output=True,
        timeout=30,
        check=False,
    )


def test_version():
    assert run("version").stdout.strip().count(".") == 2


def test_check_config_prints_summary(tmp_path):
    done = run("check-config", config=VALID_CONFIG, tmp_path=tmp_path)
    assert done.returncode == 0 and "query, reindex" in done.stdout


@pytest.mark.parametrize(
    ("config", "expected"),
    [
        (None, "RELAY_CONFIG"),
        ("{", "truncated"),
        ({**VALID_CONFIG, "listen": "here"}, "'here'"),
        (
            {**VALID_CONFIG, "known": {"members": [{"id": "s", "host_port": "nowhere", "phase": "Ready"}]}},
            "'nowhere'",
        ),
        ({**VALID_CONFIG, "settings": {**SETTINGS, "caps": {}}}, "caps.try_limit"),
        ({**VALID_CONFIG, "seed": "x"}, "'x'"),
        ({name: value for name, value in VALID_CONFIG.items() if name != "discovery"}, "discovery"),
    ],
)
@pytest.mark.parametrize("command", ["serve", "check-config"])
def test_invalid_configuration_is_named(command, config, expected, tmp_path):
    done = run(command, config=config, tmp_path=tmp_path)
    assert done.returncode == 2 and expected in done.stderr and done.stderr.count("\n") == 1


def test_address_in_use_has_own_exit_code(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        listen = f"127.0.0.1:{taken.getsockname()[1]}"
        done = run("serve", config=VALID_CONFIG, tmp_path=tmp_path, RELAY_LISTEN=listen)
    assert done.returncode == 3 and "cannot_listen" in done.stderr


def test_plain_start_does_not_import_typer(tmp_path):
    """Unneeded imports would delay the restart of a scheduler that was killed."""
    environment_without_relay = {
        name: value for name, value in os.environ.items() if not name.startswith("RELAY_")
    }
    done = subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "carthinge"],
        env=environment_without_relay,
        text=True,
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == 2 and "RELAY_CONFIG" in done.stderr
    loaded = {line.rsplit("|", 1)[1].strip() for line in done.stderr.splitlines() if line.count("|") == 2}
    assert "carthinge.policy" in loaded and not {"typer", "carthinge.cli", "carthinge.durable.jobs"} & loaded
