"""Decisions about statements when there is too little room for all of them.

``docs/design/overload.md`` explains them.
"""
