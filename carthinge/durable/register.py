"""The durable jobs that are open here, by all that they are looked for by."""

from __future__ import annotations

from carthinge.durable.held import Held
from carthinge.durable.limits import Limits


class Register:
    """Open jobs, by number, by key and by the request that brought them; counted by the limits."""

    def __init__(self, limits: Limits) -> None:
        self.by_number: dict[int, Held] = {}
        self.by_key: dict[bytes, Held] = {}
        self.by_req: dict[str, Held] = {}
        self._limits = limits

    def enter(self, held: Held) -> None:
        """It is open from now on."""
        accepted = held.accepted
        self.by_number[accepted.number] = held
        self.by_req[accepted.req_id] = held
        if accepted.key is not None:
            self.by_key[accepted.key] = held
        self._limits.enter(accepted.tenant, len(accepted.body))

    def drop(self, held: Held) -> None:
        """It is not open any more; without effect where it was not."""
        accepted = held.accepted
        if self.by_number.pop(accepted.number, None) is None:
            return
        if self.by_req.get(accepted.req_id) is held:
            del self.by_req[accepted.req_id]
        if accepted.key is not None and self.by_key.get(accepted.key) is held:
            del self.by_key[accepted.key]
        self._limits.leave(accepted.tenant, len(accepted.body))
        held.tracked = None  # else the two keep each other until the collector comes by
