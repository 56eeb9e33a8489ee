"""Durable jobs: accepted once they are on disk, and recovered from there after a crash (docs/durable.md)."""
