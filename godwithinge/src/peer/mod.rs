//! Links between daemons.
