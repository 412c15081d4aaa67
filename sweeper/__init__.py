"""One sweeper for a fleet: reads every relay's figures at a bounded pace, and keeps a summary of them all."""
