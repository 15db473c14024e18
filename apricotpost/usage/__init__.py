"""Decisions about usage reports: counts, true time, lease and windows.

The modules read no clock, socket or encoded data. Times are in milliseconds;
`boot` times are readings of CLOCK_BOOTTIME, which counts suspensions and
follows no jump of the wall clock.
"""
