"""Lets `python -m forklift` run the command line."""

import signal

# Until the process can read its settings again, a request to do so must not
# end it: loading takes most of a second.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from forklift import ui  # noqa: E402

ui.main()
