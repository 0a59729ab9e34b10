"""Registers the plugin that reads KNOWN-RED.txt."""

from test import known_red

pytest_configure = known_red.register
