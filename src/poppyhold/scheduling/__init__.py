"""Scheduling: admission of jobs by OASiS, placement of their tasks, and dispatch."""
