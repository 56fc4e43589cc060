"""Exit codes of the command ``carobwood``, which its help text explains."""

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNCERTAIN = 4
EXIT_NOT_EVERYWHERE = 5
EXIT_UNREACHABLE = 6
