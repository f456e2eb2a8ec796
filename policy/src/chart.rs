//! Interpreter of state charts.
