"""The relay as a network service: runs the decision module of ``decisions`` on real sockets."""
