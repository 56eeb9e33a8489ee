"""The command line: clean errors and exit codes."""

import json
import os
import socket
import subprocess
import sys

import pytest
from world import SETTINGS

GOOD = {
    "name": "n0",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:1",
    "seed": "8c1f",
    "settings": SETTINGS,
}


def run(*words, config=None, tmp_path=None, **environment):
    if config is not None:
        path = tmp_path / "config.json"
        path.write_text(config if isinstance(config, str) else json.dumps(config))
        environment["RELAY_CONFIG"] = str(path)
    clean = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    return subprocess.run(
        [sys.executable, "-m", "carthinge", *words],
        env={**clean, **environment},
        text=True,
        capture_output=True,
        timeout=30,
        check=False,
    )


def test_version():
    assert run("version").stdout.strip().count(".") == 2


def test_check_config_says_what_it_holds(tmp_path):
    done = run("check-config", config=GOOD, tmp_path=tmp_path)
    assert done.returncode == 0 and "query, reindex" in done.stdout


@pytest.mark.parametrize(
    ("config", "named"),
    [
        (None, "RELAY_CONFIG"),
        ("{", "truncated"),
        ({**GOOD, "listen": "here"}, "'here'"),
        (
            {**GOOD, "known": {"members": [{"id": "s", "host_port": "nowhere", "phase": "Ready"}]}},
            "'nowhere'",
        ),
        ({**GOOD, "settings": {**SETTINGS, "caps": {}}}, "caps.try_limit"),
        ({**GOOD, "seed": "x"}, "'x'"),
        ({name: value for name, value in GOOD.items() if name != "discovery"}, "discovery"),
    ],
)
@pytest.mark.parametrize("command", ["serve", "check-config"])
def test_bad_configuration_is_named_in_one_line(command, config, named, tmp_path):
    done = run(command, config=config, tmp_path=tmp_path)
    assert done.returncode == 2 and named in done.stderr and done.stderr.count("\n") == 1


def test_an_address_in_use_is_an_error_of_its_own(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        listen = f"127.0.0.1:{taken.getsockname()[1]}"
        done = run("serve", config=GOOD, tmp_path=tmp_path, RELAY_LISTEN=listen)
    assert done.returncode == 3 and "cannot_listen" in done.stderr


def test_a_start_without_a_word_on_the_line_does_not_load_the_command_line_s_library(tmp_path):
    """A scheduler that was killed serves again the sooner the less it loads."""
    clean = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    done = subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "carthinge"],
        env=clean,
        text=True,
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == 2 and "RELAY_CONFIG" in done.stderr
    loaded = {line.rsplit("|", 1)[1].strip() for line in done.stderr.splitlines() if line.count("|") == 2}
    assert "carthinge.policy" in loaded and not {"typer", "carthinge.cli", "carthinge.durable.jobs"} & loaded
