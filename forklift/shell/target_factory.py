"""Creates local targets, by the configuration and the settings in force."""

from collections.abc import Callable

from forklift import admission
from forklift import catalog
from forklift import fair_queueing
from forklift import heartbeats
from forklift import overload
from forklift import settings
from forklift.shell import connection_pool
from forklift.shell import local_targets

# Maximum connections to a target whose service is not configured.
DEFAULT_MAX_CONNECTIONS = 100


class TargetFactory:
    """Creates local targets.

    Attributes:
        queueing_rules: How the targets divide their room.
    """

    def __init__(
        self,
        active_catalog: catalog.ActiveCatalog,
        overload_settings: Callable[[], settings.Overload],
        now: Callable[[], float],
    ):
        """Creates a factory.

        Args:
            active_catalog: The catalog that the process uses.
            overload_settings: Returns the settings of overload control.
            now: Returns monotonic seconds.
        """
        self._active_catalog = active_catalog
        self._overload_settings = overload_settings
        self._now = now
        self.queueing_rules = fair_queueing.Rules(
            self._is_overload_control_on,
            self._weight,
            lambda: self._overload_settings().floor,
        )

    def create(
        self, heartbeat: heartbeats.Heartbeat
    ) -> local_targets.LocalTarget:
        """Returns a new target, as its first heartbeat describes it."""
        service = self._active_catalog.catalog.services_by_name.get(
            heartbeat.service
        )
        max_connections = (
            service.max_connections if service else DEFAULT_MAX_CONNECTIONS
        )
        return local_targets.LocalTarget(
            heartbeat.incarnation.target,
            admission.Controller(
                heartbeat.incarnation.name,
                heartbeat.service,
                heartbeat.slots,
                self.queueing_rules,
            ),
            connection_pool.Pool(heartbeat.address, max_connections, self._now),
        )

    def _is_overload_control_on(self) -> bool:
        return overload.is_enabled(
            self._overload_settings().mode,
            self._active_catalog.catalog.has_bulk_routes,
        )

    def _weight(self, organisation: str) -> float:
        """Weight of an organisation by the configuration in force."""
        found = self._active_catalog.catalog.organisation(organisation)
        return found.weight if found else fair_queueing.DEFAULT_WEIGHT
