"""The HTTP front end for clients, worker callbacks and operators."""
