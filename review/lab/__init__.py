"""Runs the program as processes with stand-ins, for the cases beside it."""
