"""What a process derives from its settings and from files that they name."""

from forklift import policy
from forklift import rate_limits
from forklift import settings


def load_policy(current: settings.Settings) -> policy.Policy:
    """Loads the policy file in the settings, or returns the built-in policy.

    Raises:
        errors.UserError: The file can't be read or is invalid.
    """
    file = current.process.policy
    if not file:
        return policy.BUILT_IN
    return policy.parse(file, settings.read_file(file))


def rate_limit_bounds(current: settings.Settings) -> rate_limits.Bounds:
    """Returns how far organisations may exceed their limits."""
    bounds = current.organisations
    return rate_limits.Bounds(bounds.window, bounds.overshoot, bounds.slack)
