"""Runs the command line for `python -m forklift` and the binary."""

import signal

# A SIGHUP that arrives during the imports must not end the process; the handler
# that reloads the settings is installed later.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from forklift import ui  # noqa: E402

if __name__ == "__main__":
    ui.main()
