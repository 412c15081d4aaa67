"""Time limits of the protocol's page that several checkers share, with the slack it allows on sockets."""

# A message may end this long (s) after its deadline.
END_SLACK_S = 0.3
# Every other time limit is longer by this much (s) where it is measured on sockets.
SOCKET_SLACK_S = 0.05
