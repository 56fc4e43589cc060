"""Entry point of the command ``carobwood``."""

import sys

from . import cli


def main():
    """Run the client and return its exit code."""
    return cli.run(sys.argv[1:])


if __name__ == '__main__':
    sys.exit(main())
