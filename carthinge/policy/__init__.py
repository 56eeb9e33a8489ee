"""Every decision of the dispatcher; what goes in and comes out is declared in interface.py."""

from carthinge.policy.dispatcher import Dispatcher as Dispatcher
