"""relay: the decision module of ``decisions`` as one real relay on real sockets."""
