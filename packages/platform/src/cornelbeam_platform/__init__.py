"""Client of the Object API and the kinds of configuration objects."""
