"""What speaks to the users' platform: names, formats and calls.

Nothing here decides. Names on the wire are decoded once, into types of the
product; docs/PLATFORM.md lists which message means what.
"""
