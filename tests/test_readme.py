"""The README's library example runs unchanged."""

import re
from pathlib import Path


def test_library_example_runs(capsys):
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(example, "README.md", "exec"), {})
    assert capsys.readouterr().out == "send job 7 to worker 101\nserved, nothing more to do\n"
