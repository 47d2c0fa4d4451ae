"""How the modules of the package depend on one another."""

import ast
from graphlib import TopologicalSorter
from pathlib import Path

SOURCES = Path(__file__).resolve().parent.parent / "src"


def _imports(path: Path, modules: set[str]) -> set[str]:
    """The project's modules that a module loads, be it as it is loaded itself or later."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module is not None and node.level == 0:
            found.add(node.module)
            found.update(f"{node.module}.{name.name}" for name in node.names)
        elif isinstance(node, ast.Import):
            found.update(name.name for name in node.names)
    return found & modules


def test_no_module_is_part_of_an_import_cycle() -> None:
    paths = {
        ".".join(path.relative_to(SOURCES).with_suffix("").parts): path
        for path in (SOURCES / "poppyhold").rglob("*.py")
        if path.name != "__init__.py"
    }
    graph = {module: _imports(path, set(paths)) for module, path in paths.items()}
    assert len(list(TopologicalSorter(graph).static_order())) == len(paths)
