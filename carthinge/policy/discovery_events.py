"""Discovery's lists, and what is told to other dispatchers.  Times are microseconds."""

from typing import Final

from carthinge import interface as io
from carthinge.dispatch_context import DispatchContext

CAP_START: Final = 4.0  # outstanding slots at a worker that nothing is known of
WATCH_AGAIN: Final = 0.0125  # of the span to ask within: two lists lost in a row may not miss a drain
AGAIN_LEAST: Final = 2_000_000  # microseconds: the longest pause between calls that fail, of a few gateways
AGAIN_EACH: Final = 20_000  # for each gateway, where many share one list of fixed capacity
AGAIN_MOST: Final = 4_000_000  # a change counts as told 6 s after it could be had
TELL_SPEND: Final = 0.02  # points of service spent on messages for each job
TELL_LEAST: Final = 50_000


class DiscoveryEvents:
    """Discovery and the other gateways."""

    def __init__(self, context: DispatchContext) -> None:
        self.context = context
        self._tries = 0  # lists that failed in a row

    def listed(self, event: io.WorkerList) -> None:
        """Take a list, or the failure of one."""
        context, settings = self.context, self.context.settings
        if event.listing is io.Listing.FAILED:  # where no time to ask within is told, the grace bounds it
            self._tries += 1
            most = min(max(AGAIN_LEAST, AGAIN_EACH * settings.instances), AGAIN_MOST)
            spread = (settings.ask_within or settings.drain_grace) * min(1.0, WATCH_AGAIN * 2**self._tries)
            spread = min(spread, most)  # what discovery has when it can be reached counts as told soon after
            context.after(context.now + int(context.rng.uniform(0.3, 1.0) * spread), context.watch)
            return
        if event.listing is io.Listing.CACHED:
            self._begin()
        else:
            self._tries = 0
        context.fleet.take(event, CAP_START)

    def _begin(self) -> None:
        """Watches of hundreds of gateways are spread so that a list of fixed capacity can answer."""
        context, settings = self.context, self.context.settings
        if settings.subscribe:
            spread = min(settings.ask_within * 0.8, settings.instances * 20_000)
            turn = settings.position + context.rng.random()
            context.after(context.now + int(spread * turn / settings.instances), context.watch)
        if settings.may_tell and settings.instances > 1 and settings.weights is not io.Weights.LIVE:
            context.after(context.now + int(TELL_LEAST * context.rng.random()), self._tell)

    def _tell(self) -> None:
        """Own outstanding work, told to the others as often as its price allows."""
        context, body = self.context, self.context.loads()
        context.actions.append(io.Tell(body))
        cost = context.settings.price_message * (len(body) + 8) / 256 * (context.settings.instances - 1)
        gap = cost / (TELL_SPEND * max(context.arrivals.per_s, 0.1)) * 1e6
        context.after(context.now + max(TELL_LEAST, int(gap)), self._tell)
