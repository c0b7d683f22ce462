"""What an upstream bears now: stated rate limits, rests and departures, and shared starts.

For a forwarder and for a slot alike, the modules answer whether a request may start at an upstream
now, and what holds it back. All times are seconds on one clock of the process.
"""
