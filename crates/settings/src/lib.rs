//! INI settings with a checked schema.
