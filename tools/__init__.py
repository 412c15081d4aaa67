"""Tools of the project that are no part of what runs in service."""
