"""Organisations: their callers' keys, connections and limits.

What is here takes effect only if the operator's configuration names
organisations. ``docs/design/organisations.md`` explains the design.
"""
