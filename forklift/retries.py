"""Retry budget: a share of requests, so that a brown-out is not multiplied."""

RESERVE = 5.0


class Budget:
    """Tokens that retries spend and first attempts earn.

    >>> budget = Budget(share=0.5, reserve=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.earn(); budget.earn(); budget.spend()
    True
    """

    def __init__(self, share: float, reserve: float = RESERVE):
        self.share = share
        self._reserve = reserve
        self._tokens = reserve
        self.refused = 0

    def earn(self) -> None:
        """A first attempt was sent."""
        most = max(self._reserve, 1.0)
        self._tokens = min(most, self._tokens + self.share)

    def spend(self) -> bool:
        """Takes a token; False where none is left."""
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        return True
