"""Starts poppyhold from a checkout, with src/ and target/deps on the import path."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]
# The build writes bytecode to this directory, because a controller may not write to the checkout.
sys.pycache_prefix = str(ROOT / "target" / "pycache")
# The fleet's networks do not use TLS, and importing ssl takes a tenth of a controller's start-up time.
sys.modules["ssl"] = None  # type: ignore[assignment]

from poppyhold.cli import main  # noqa: E402  (needs the import path set above)

if __name__ == "__main__":
    sys.exit(main())
