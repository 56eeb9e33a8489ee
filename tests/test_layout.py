"""The layout: packages import downward only, and no file is too long to be read at one go."""

import ast
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LONGEST = 400  # lines of one file

# Packages, and the modules beside them, each above all that it may import. Those of a line may not meet.
LAYERS = (
    ("__main__",),
    ("cli",),
    ("serving",),
    ("scheduler",),
    ("front",),
    ("durable", "benchlink", "model"),
    ("net", "wire"),
    ("carthinge",),  # its face, which is the module
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


def part_of(module: str) -> str:
    """The package or single module of carthinge that a module belongs to; "carthinge" for the face itself."""
    names = module.split(".")
    return names[1] if len(names) > 1 else names[0]


def imports(file: Path) -> set[str]:
    """The modules of carthinge that a file imports, wherever in it, for types only too."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{file}: imports are written out"
            module = node.module or ""
            for alias in node.names:  # `from carthinge import interface` is of the module interface
                path = ROOT.joinpath(*module.split("."), alias.name)
                inner = path.is_dir() or path.with_suffix(".py").exists()
                found.add(f"{module}.{alias.name}" if inner else module)
    return {module for module in found if module.split(".")[0] == "carthinge"}


def modules() -> dict[str, set[str]]:
    """Each module of carthinge, with those that it imports."""
    found = {}
    for file in sorted(ROOT.glob("carthinge/**/*.py")):
        name = ".".join(file.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
        found[name] = imports(file)
    return found


def test_every_package_is_in_a_layer_and_imports_from_lower_ones_only():
    layer = {part: at for at, parts in enumerate(LAYERS) for part in parts}
    seen = modules()
    assert {part_of(module) for module in seen} == set(layer), "LAYERS and the folders differ"
    upward = [
        f"{module} imports {other}"
        for module, others in seen.items()
        for other in sorted(others)
        if part_of(other) != part_of(module) and layer[part_of(other)] <= layer[part_of(module)]
    ]
    assert not upward, upward


def test_no_module_is_in_a_circle_of_imports():
    """Within a package too, and where the import is inside a function or for types only."""
    left = {module: {other for other in others if other != module} for module, others in modules().items()}
    while free := {module for module, others in left.items() if not others & left.keys()}:
        left = {module: others for module, others in left.items() if module not in free}
    assert not left, sorted(left)


def test_no_file_is_longer_than_can_be_read_at_one_go():
    longer = {
        str(file.relative_to(ROOT))
        for folder in ("carthinge", "tests", "benchmarks")
        for file in ROOT.glob(f"{folder}/**/*.py")
        if len(file.read_text().splitlines()) > LONGEST
    }
    assert not longer, longer


def test_a_start_loads_nothing_that_is_off():
    """Durable jobs cost no import where none is set; a plain start needs neither command line nor model."""
    loaded = subprocess.run(
        [sys.executable, "-c", "import carthinge.serving, sys; print(*sys.modules)"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    assert "carthinge.scheduler.program" in loaded
    durable = {module for module in loaded if module.startswith("carthinge.durable.")}
    assert durable == {"carthinge.durable.errors"}  # which says that there is no store
    assert not {"carthinge.model", "carthinge.front.durable_front", "sqlite3", "typer"} & set(loaded)
