"""The scheduling decisions of the dispatcher; interface.py declares its events and actions."""

from carthinge.policy.dispatcher import Dispatcher as Dispatcher
