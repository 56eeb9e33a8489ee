"""Worker lists from discovery, and load messages to other dispatchers.  Times are microseconds."""

from typing import Final

from carthinge import interface as io
from carthinge.dispatch_context import DispatchContext

INITIAL_CAP_SLOTS: Final = 4.0  # outstanding slots at a worker not yet known
WATCH_RETRY_SHARE: Final = 0.0125  # of ask_within: a drain is noticed in time despite two lost lists
MIN_WATCH_RETRY_LIMIT_US: Final = 2_000_000  # longest delay where few schedulers share discovery
WATCH_RETRY_LIMIT_PER_SCHEDULER_US: Final = 20_000  # discovery has a fixed capacity
MAX_WATCH_RETRY_LIMIT_US: Final = 4_000_000  # a change counts as known 6 s after it can be fetched
MESSAGE_COST_PER_JOB: Final = 0.02  # points of service
MIN_MESSAGE_INTERVAL_US: Final = 50_000


class DiscoveryEvents:
    """Handles discovery's lists and sends load messages to the other schedulers."""

    def __init__(self, context: DispatchContext) -> None:
        self.context = context
        self._failures = 0  # consecutive failed lists

    def handle_list(self, event: io.WorkerList) -> None:
        """Apply a list; after a failed one, watch again with a growing random delay."""
        context, settings = self.context, self.context.settings
        if event.listing is io.Listing.FAILED:  # without ask_within, drain_grace bounds the delay
            self._failures += 1
            max_delay = min(
                max(MIN_WATCH_RETRY_LIMIT_US, WATCH_RETRY_LIMIT_PER_SCHEDULER_US * settings.instances),
                MAX_WATCH_RETRY_LIMIT_US,
            )
            delay = (settings.ask_within or settings.drain_grace) * min(
                1.0, WATCH_RETRY_SHARE * 2**self._failures
            )
            delay = min(delay, max_delay)  # changes count as known soon after discovery can be reached
            context.call_at(context.now + int(context.rng.uniform(0.3, 1.0) * delay), context.request_watch)
            return
        if event.listing is io.Listing.CACHED:
            self._schedule_first_calls()
        else:
            self._failures = 0
        context.fleet.apply_list(event, INITIAL_CAP_SLOTS)

    def _schedule_first_calls(self) -> None:
        """Spread the first watches of all schedulers over time: discovery has a fixed capacity."""
        context, settings = self.context, self.context.settings
        if settings.subscribe:
            spread = min(settings.ask_within * 0.8, settings.instances * 20_000)
            slot = settings.position + context.rng.random()
            context.call_at(context.now + int(spread * slot / settings.instances), context.request_watch)
        if settings.may_send_messages and settings.instances > 1 and settings.weights is not io.Weights.LIVE:
            context.call_at(
                context.now + int(MIN_MESSAGE_INTERVAL_US * context.rng.random()), self._send_loads
            )

    def _send_loads(self) -> None:
        """Send this scheduler's outstanding work to the others, as often as the price of messages allows."""
        context, body = self.context, self.context.encode_loads()
        context.actions.append(io.SendMessage(body))
        cost = context.settings.price_message * (len(body) + 8) / 256 * (context.settings.instances - 1)
        interval = cost / (MESSAGE_COST_PER_JOB * max(context.arrival_rate.per_s, 0.1)) * 1e6
        context.call_at(context.now + max(MIN_MESSAGE_INTERVAL_US, int(interval)), self._send_loads)
