"""What a process derives from its settings and from files that they name.

Also applies changed settings to the components that keep values of their own.
"""

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


def apply(proxy, changed: settings.Settings) -> None:
    """Applies changed settings, none of which needs a restart.

    Args:
        proxy: The process.
        changed: The settings.

    Raises:
        errors.UserError: The policy file can't be read or is invalid; nothing
            has changed then.
    """
    proxy.policy = load_policy(changed)
    before, proxy.settings = proxy.settings, changed
    proxy.target_registry.apply_settings(changed)
    proxy.balancer.retry_budgets.set_limits(changed.budget.limits())
    proxy.balancer.cross_domain_cost_per_kilobyte = changed.limits.far_cost
    proxy.ingress.max_connections = changed.limits.callers
    proxy.rate_limiter.limiter.set_bounds(rate_limit_bounds(changed))
    if changed.platform.store != before.platform.store:
        proxy.store.change_address(changed.platform.store)
        proxy.follower.restart_read()
    if changed.platform.target != before.platform.target:
        proxy.spawn(proxy.target_discovery.find_configured_target())
