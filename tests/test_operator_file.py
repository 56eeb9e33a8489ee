"""The operator's configuration file: its keys and its error messages."""

import tomllib
from datetime import timedelta
from pathlib import Path

import pytest
from typer.testing import CliRunner

from carthinge.operator_file import FileError, Options, check_classes, read

EXAMPLE_FILE = Path(__file__).parent.parent / "deploy" / "carthinge.toml"


def read_config(tmp_path, text):
    path = tmp_path / "file.toml"
    path.write_text(text)
    return read(str(path))


def test_defaults_without_file():
    assert read(None) == Options() and not Options().durable.folder


def test_example_shows_every_key_and_default(tmp_path):
    text = EXAMPLE_FILE.read_text()
    assert read(str(EXAMPLE_FILE)) == Options()
    shown = "\n".join(line.removeprefix("# ") if " = " in line else line for line in text.splitlines())
    assert read_config(tmp_path, shown) == Options()
    for part, values in tomllib.loads(shown).items():
        assert list(values) == list(getattr(Options(), part).__struct_fields__)


def test_durations_are_seconds_or_iso(tmp_path):
    assert read_config(tmp_path, "[leases]\nduration = 1.5").leases.duration == timedelta(seconds=1.5)
    assert read_config(tmp_path, "[leases]\nduration = 'PT2M'").leases.duration == timedelta(minutes=2)


@pytest.mark.parametrize(
    "text, expected",
    [
        ("[durable]\nfoldr = 'x'", "durable.foldr: no such key; did you mean 'folder'?"),
        ("[nonsense]", "nonsense: no such key; known are durable, leases"),
        ("[durable]\nmax_open = 'many'", "durable.max_open: Expected `int`, got `str`"),
        ("[durable]\nmax_open = 0", "durable.max_open: Expected `int` >= 1"),
        ("[durable]\nfolder = 'x'\nclasses = [1]", "durable.classes[0]: Expected `str`, got `int`"),
        ("[durable]\nclasses = ['reindex']", "durable.folder: expected a folder"),
        ("durable = 3", "durable: Expected `object`, got `int`"),
        ("[leases]\nduration = true", "leases.duration: Expected `duration`, got `bool`"),
        ("[leases]\nduration = 0", "leases.duration: expected a duration of at least 0.1 s"),
        ("[leases]\nduration = 1e300", "out of range"),
        ("[leases", "not TOML"),
        ("[fleet]\nperiod = 2", "fleet.listen: expected an address"),
        ("[fleet]\nlisten = 'here:7946'", "fleet.listen: expected the address of one machine"),
        ("[fleet]\nlisten = '10.0.0.7:0'", "fleet.listen: expected the address of one machine"),
        ("[fleet]\nlisten = '0.0.0.0:7946'", "fleet.advertise: expected the address of one machine"),
        (
            "[fleet]\nlisten = '10.0.0.7:7946'\nmembers = ['10.0.0.8:7946', '10.0.0.9']",
            "fleet.members[1]: expected the address of one machine, such as 10.0.0.7:7946, got '10.0.0.9'",
        ),
        (
            "[fleet]\nlisten = '10.0.0.7:7946'\nperiod = 0.01",
            "fleet.period: expected a duration of at least 0.1 s",
        ),
        (
            "[fleet]\nlisten = '10.0.0.7:7946'\nperiod = 3600",
            "fleet.period: expected a duration of at most 60 s",
        ),
        ("[fleet]\nlisten = '10.0.0.7:7946'\nkey_file = '/nowhere'", "fleet.key_file: No such file"),
        (
            "[fleet]\nlisten = '10.0.0.7:7946'\nkey_file = '/dev/null'",
            "fleet.key_file: expected a secret of at",
        ),
    ],
)
def test_error_names_path_of_key(tmp_path, text, expected):
    with pytest.raises(FileError) as error:
        read_config(tmp_path, text)
    assert expected in str(error.value) and "file.toml" in str(error.value)


def test_missing_file_is_named(tmp_path):
    with pytest.raises(FileError, match="No such file"):
        read(str(tmp_path / "none"))


def test_classes_must_be_known_to_site(tmp_path):
    options = read_config(tmp_path, "[durable]\nfolder = 'x'\nclasses = ['reindx']")
    with pytest.raises(FileError, match=r"durable.classes\[0\]: 'reindx' is not .* did you mean 'reindex'"):
        check_classes(options, ("query", "reindex"))


def test_check_config_reads_operator_file(tmp_path, monkeypatch):
    from carthinge.cli import app

    monkeypatch.delenv("RELAY_CONFIG", raising=False)
    path = tmp_path / "file.toml"
    path.write_text("[durable]\nfoldr = 'x'")
    result = CliRunner().invoke(app, ["check-config", "--file", str(path)])
    assert result.exit_code == 2 and "durable.foldr" in result.output
