"""Adapters for the users' platform: its names, formats and calls.

The modules decode messages of the platform into types of the product and make
no decisions. docs/PLATFORM.md describes the messages.
"""
