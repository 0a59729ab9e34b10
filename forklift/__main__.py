"""Runs the command line as `python -m forklift`, and as the binary."""

from forklift import ui

if __name__ == "__main__":
    ui.main()
