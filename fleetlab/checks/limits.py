"""Time limits that several checkers share: those of the protocol's page, with its slack on sockets."""

END_SLACK_S = 0.3  # after a message's time, in which an end still counts
SOCKET_SLACK_S = 0.05  # by which every time limit is longer on sockets
