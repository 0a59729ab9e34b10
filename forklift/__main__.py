"""Runs the command line as `python -m forklift`, and as the binary."""

import signal

# Until the process can read its settings again, a request to do so must not
# end it: loading takes most of a second.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from forklift import ui  # noqa: E402

if __name__ == "__main__":
    ui.main()
