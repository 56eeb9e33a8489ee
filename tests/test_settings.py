"""Reading the settings from the simulator's lines and from nested JSON."""

import pytest
from test_benchlink import SETTINGS_LINES
from world import SETTINGS

from carthinge import interface as io
from carthinge.settings import SettingsTable, read_settings, read_site


def to_lines(nested, prefix=""):
    """Write nested settings as the simulator's lines."""
    for name, value in nested.items():
        path = f"{prefix}{name}"
        if isinstance(value, dict):
            yield from to_lines(value, f"{path}.")
        elif isinstance(value, list) and isinstance(value[0], dict):
            yield f"{path}.count={len(value)}"
            yield from to_lines({str(index): item for index, item in enumerate(value)}, f"{path}.")
        else:
            items = value if isinstance(value, list) else [value]
            text = ",".join(str(item).lower() if isinstance(item, bool) else str(item) for item in items)
            yield f"{path}={text.replace(' ', '_')}"


def test_json_and_lines_are_equivalent():
    from_json = read_settings(SettingsTable.from_nested(SETTINGS))
    assert from_json == read_settings(SettingsTable.from_lines("\n".join(to_lines(SETTINGS))))
    assert from_json.report_fields == ("util", "qps", "free_slots")  # "free slots" in JSON
    assert from_json.classes[1].effect is io.Effect.KEYED and from_json.may_cancel


def test_site_has_names_and_durations():
    site = read_site(SettingsTable.from_nested(SETTINGS))
    assert site.tenants == ("acme", "beta") and site.report_fields == ("util", "qps", "x0")
    assert site.idle_close.total_seconds() == 5 and site.connect_timeout.total_seconds() == 0.25


@pytest.mark.parametrize("path", ["services.0.objective", "caps.try_limit"])
def test_missing_setting_is_named(path):
    text = "\n".join(line for line in SETTINGS_LINES.splitlines() if not line.startswith(path))
    with pytest.raises(ValueError, match=path):
        read_settings(SettingsTable.from_lines(text))
