"""Start poppyhold from a checkout: put src/ and target/deps on the path, then call the program."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]
# The build compiles everything to here: a controller may not write to the checkout.
sys.pycache_prefix = str(ROOT / "target" / "pycache")
# The fleet's networks have no TLS, and loading it takes a tenth of a controller's start.
sys.modules["ssl"] = None  # type: ignore[assignment]

from poppyhold.cli import main  # noqa: E402  (the path must be set first)

if __name__ == "__main__":
    sys.exit(main())
