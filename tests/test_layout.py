"""The layout: packages import only from lower layers, and no file is too long."""

import ast
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAX_LINES = 400  # lines

# Packages and top-level modules, each above all that it may import. Those of one line are independent.
LAYERS = (
    ("__main__",),
    ("cli",),
    ("serving",),
    ("scheduler",),
    ("front",),
    ("durable", "benchlink", "model"),
    ("net", "wire"),
    ("carthinge",),  # the package itself, which exports the decision module
    ("policy",),
    ("memory",),
    ("dispatch_context",),
    ("worker_registry", "timers"),
    ("fleet",),
    ("records", "settings"),
    ("interface",),
    ("handover_memory",),
    ("rules", "operator_file", "leases", "meters", "worker_list"),
)


def top_level_part(module: str) -> str:
    """Return the package or top-level module that a module belongs to; "carthinge" for __init__.py."""
    names = module.split(".")
    return names[1] if len(names) > 1 else names[0]


def imports(file: Path) -> set[str]:
    """Return the modules of carthinge that a file imports, in functions and for types as well."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{file}: relative import"
            module = node.module or ""
            for alias in node.names:  # `from carthinge import interface` imports the module interface
                path = ROOT.joinpath(*module.split("."), alias.name)
                inner = path.is_dir() or path.with_suffix(".py").exists()
                found.add(f"{module}.{alias.name}" if inner else module)
    return {module for module in found if module.split(".")[0] == "carthinge"}


def modules() -> dict[str, set[str]]:
    """Return the modules of carthinge, each with those that it imports."""
    found = {}
    for file in sorted(ROOT.glob("carthinge/**/*.py")):
        name = ".".join(file.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
        found[name] = imports(file)
    return found


def test_packages_import_from_lower_layers():
    layer = {part: at for at, parts in enumerate(LAYERS) for part in parts}
    seen = modules()
    assert {top_level_part(module) for module in seen} == set(layer), "LAYERS and the folders differ"
    violations = [
        f"{module} imports {other}"
        for module, others in seen.items()
        for other in sorted(others)
        if top_level_part(other) != top_level_part(module)
        and layer[top_level_part(other)] <= layer[top_level_part(module)]
    ]
    assert not violations, violations


def test_no_import_cycles():
    """Imports inside a package, inside functions and for types only count as well."""
    remaining = {
        module: {other for other in others if other != module} for module, others in modules().items()
    }
    while leaves := {module for module, others in remaining.items() if not others & remaining.keys()}:
        remaining = {module: others for module, others in remaining.items() if module not in leaves}
    assert not remaining, sorted(remaining)


def test_no_file_is_too_long():
    too_long = {
        str(file.relative_to(ROOT))
        for folder in ("carthinge", "tests", "benchmarks")
        for file in ROOT.glob(f"{folder}/**/*.py")
        if len(file.read_text().splitlines()) > MAX_LINES
    }
    assert not too_long, too_long


def test_start_imports_only_what_is_used():
    """A plain start imports neither the command line nor the model, nor durable jobs if none are set.

    Nor rich, which structlog would load for nothing: two processes of an upgrade have one limit on memory.
    """
    loaded = subprocess.run(
        [sys.executable, "-c", "import carthinge.serving, sys; print(*sys.modules)"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    assert "carthinge.scheduler.program" in loaded
    durable = {module for module in loaded if module.startswith("carthinge.durable.")}
    assert durable == {"carthinge.durable.errors"}  # needed to report that there is no store
    assert not {"carthinge.model", "carthinge.front.durable_front", "rich", "sqlite3", "typer"} & set(loaded)
