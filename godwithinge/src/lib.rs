//! Daemons of godwithinge.
