"""`python -m poppyhold`: the command line."""

import sys

from poppyhold.cli import main

if __name__ == "__main__":
    sys.exit(main())
