"""Adapters for the users' platform: its names, formats and calls.

The modules convert messages of the platform to types of forklift and make no
decisions. docs/PLATFORM.md describes the messages.
"""
