"""Execution of tasks: attempts, gangs, commands to workers, completions."""
